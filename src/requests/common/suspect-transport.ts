/** The ways on which crashes spread between daemons and to the store. */
import type {Crash} from './suspect-table.js';

/** Tells others of crashes; each call resolves within a bounded time, whatever the peers do. */
export type SuspectTransport = {
	/** Reports to the owner of the fingerprint's shard; true when it keeps the report and has told the others. */
	readonly report: (crashes: readonly Crash[]) => Promise<boolean>;
	/** Tells all members directly. */
	readonly announce: (crashes: readonly Crash[]) => Promise<void>;
	/** Asks all members to send nothing new to a server for a while. */
	readonly reserve: (serverId: string) => Promise<void>;
	/** Whether a server that several daemons have reserved at once is this daemon's. */
	readonly goesFirst: (serverId: string) => boolean;
	/** Spreads the newest crashes as a rumor. */
	readonly spread: (crashes: readonly Crash[]) => void;
};
