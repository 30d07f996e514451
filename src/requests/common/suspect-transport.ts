/** Transport of crash reports between daemons and to the store. */
import type {Crash} from './suspect-table.js';

/** Sends crashes to other daemons; each call resolves within a bounded time, even when peers don't respond. */
export type SuspectTransport = {
	/** Reports crashes to the owners of their fingerprints' shards; true when the owners accepted them and sent them to all members. */
	readonly report: (crashes: readonly Crash[]) => Promise<boolean>;
	/** Sends crashes directly to all members. */
	readonly announce: (crashes: readonly Crash[]) => Promise<void>;
	/** Asks all members to send no new requests to a server until the reservation expires. */
	readonly reserve: (serverId: string) => Promise<void>;
	/** Whether this daemon has priority on a server that several daemons have reserved at the same time. */
	readonly hasPrecedence: (serverId: string) => boolean;
	/** Spreads the newest crashes by gossip. */
	readonly spread: (crashes: readonly Crash[]) => void;
};
