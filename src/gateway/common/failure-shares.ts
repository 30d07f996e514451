/**
 * How often each server lately failed what it was given, as one daemon has seen it. A server may fail a part of its requests
 * while its own health check is good; it is passed over for a while, and then tried again with one request.
 */

/** The shares as one daemon knows them. */
export type FailureShares = {
	readonly note: (serverId: string, hasFailed: boolean, now: number) => void;
	/** Servers of a list that are passed over now; never all of them. */
	readonly listFailing: (serverIds: readonly string[], now: number) => readonly string[];
};

/** Weight of the newest outcome in the running share. */
const GAIN = 0.25;
/** Share from which a server is passed over; requests that fail everywhere are far fewer. */
const FAILING_SHARE = 0.35;
/** Time for which a failing server is passed over, in milliseconds; a callers' deadline is of that size. */
const PASS_OVER_MS = 2000;

type Entry = {
	readonly share: number;
	readonly at: number;
};

/** Creates shares without any outcome. */
export function createFailureShares(): FailureShares {
	const entries = new Map<string, Entry>();
	return {
		note(serverId, hasFailed, now) {
			const known = entries.get(serverId);
			const share = (known?.share ?? 0) + (GAIN * ((hasFailed ? 1 : 0) - (known?.share ?? 0)));
			if (share < GAIN / 10) {
				entries.delete(serverId);
				return;
			}

			entries.set(serverId, {share, at: now});
		},
		listFailing(serverIds, now) {
			const failing = serverIds.filter(serverId => {
				const entry = entries.get(serverId);
				return entry !== undefined && entry.share >= FAILING_SHARE && now - entry.at < PASS_OVER_MS;
			});
			return failing.length < serverIds.length ? failing : [];
		},
	};
}
