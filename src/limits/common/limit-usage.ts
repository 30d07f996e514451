/** Counts the requests that one daemon sends to servers with a limit, so that logs show which daemons obey it. */
import type {ServerLimits} from './server-limits.js';

/** Requests sent to one server with a limit, in one period. */
export type LimitUse = {
	readonly serverId: string;
	/** The limit in requests a second, for all daemons together. */
	readonly perSecond: number;
	readonly sent: number;
};

/** The counts of one daemon. */
export type LimitUsage = {
	/** Counts a request; `startedAt` is the start of the server's current run. */
	readonly recordSend: (serverId: string, startedAt: number | undefined) => void;
	/** Returns the counts since the last call, without servers that got no request. */
	readonly takeCounts: () => readonly LimitUse[];
};

/** Creates empty counts. */
export function createLimitUsage(limits: ServerLimits): LimitUsage {
	const useByServer = new Map<string, LimitUse>();
	return {
		recordSend(serverId, startedAt) {
			const perSecond = limits.perSecondOf(serverId, startedAt);
			if (perSecond !== undefined) {
				useByServer.set(serverId, {serverId, perSecond, sent: (useByServer.get(serverId)?.sent ?? 0) + 1});
			}
		},
		takeCounts() {
			const counts = [...useByServer.values()];
			useByServer.clear();
			return counts;
		},
	};
}
