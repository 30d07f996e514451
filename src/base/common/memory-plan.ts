/** Divides the memory of the process among what callers can make it hold. */

/** Limits of the memory that messages hold in total, in bytes. */
export type MemoryPlan = {
	/** Bodies of requests, from their first byte until the request has ended. */
	readonly requestBytes: number;
	/** Bodies of responses, until their receiver has read them. */
	readonly responseBytes: number;
	/** Heads of requests that are arriving or in progress, as they expand in memory. */
	readonly headBytes: number;
};

const MEGABYTE = 1024 * 1024;
/** Memory of a process when the settings don't state it, in megabytes. */
export const DEFAULT_MEMORY_MB = 256;
/**
 * Memory that is not given to messages: an idle process has 57 MB, 2,012 connections take 20 MB, and one body of 32 MB is
 * copied into one piece at a time.
 */
const RESERVED_MB = 110;
/** Memory for messages on hosts with less memory than the smallest VM. A body of 33,554,432 bytes still fits. */
const MINIMUM_MESSAGES_MB = 90;
const SHARES = {request: 0.42, response: 0.43, head: 0.15} as const;

/** Plans the memory of a process that may use `memoryMb` megabytes. */
export function planMemory(memoryMb: number): MemoryPlan {
	const messageBytes = Math.max(MINIMUM_MESSAGES_MB, memoryMb - RESERVED_MB) * MEGABYTE;
	return {
		requestBytes: Math.floor(messageBytes * SHARES.request),
		responseBytes: Math.floor(messageBytes * SHARES.response),
		headBytes: Math.floor(messageBytes * SHARES.head),
	};
}
