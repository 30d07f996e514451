/** Decides when garbage must be collected at once. */

/** Bytes of messages that were freed since the last collection, below which another one is not worth its time. */
const MINIMUM_FREED_BYTES = 16 * 1024 * 1024;
/** Share of the process's memory in use below which garbage may wait for the next collection of V8. */
const MINIMUM_USED_SHARE = 0.6;

/** Whether a collection now keeps the process within its memory. */
export function needsCollection(freedBytes: number, readResidentBytes: () => number, memoryBytes: number): boolean {
	return freedBytes >= MINIMUM_FREED_BYTES && readResidentBytes() > memoryBytes * MINIMUM_USED_SHARE;
}
