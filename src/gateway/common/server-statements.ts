/** Records what backend servers state about themselves in the heads of their responses: that they are leaving, and how many requests they take. */
import type {LimitUsage} from '../../limits/common/limit-usage.js';
import type {ServerLimits} from '../../limits/common/server-limits.js';
import type {LeavingNotice} from './leaving-notices.js';
import type {ResponseHead} from './server-protocol.js';

/** Records the statements of all servers that one daemon calls. */
export type ServerStatements = {
	/** Counts a request that is about to be sent. The returned function records the head of its response. */
	readonly begin: (serverId: string, sentAt: number) => (head: ResponseHead, now: number) => void;
	/** The same for a request that another daemon sends and counts. */
	readonly observe: (serverId: string, sentAt: number) => (head: ResponseHead, now: number) => void;
};

/** Dependencies of the records. */
export type ServerStatementDependencies = {
	/** Unix time in milliseconds at which the currently known run of a server started. */
	readonly startTimeOf: (serverId: string) => number | undefined;
	/** Called when a server states that it is leaving. */
	readonly onLeaving: (notice: LeavingNotice, now: number) => void;
	readonly limits: ServerLimits;
	readonly limitUsage: LimitUsage;
};

/** Creates the records. */
export function createServerStatements({
	startTimeOf, onLeaving, limits, limitUsage,
}: ServerStatementDependencies): ServerStatements {
	function observe(serverId: string, sentAt: number) {
		const startedAt = startTimeOf(serverId);
		return (head: ResponseHead, now: number) => {
			if (head.isOtherServer) {
				return;
			}

			limits.recordResponse({
				serverId, startedAt, perSecond: head.limitPerSecond, sentAt,
			}, now);
			if (head.isLeaving) {
				onLeaving({serverId, startedAt}, now);
			}
		};
	}

	return {
		observe,
		begin(serverId, sentAt) {
			limitUsage.recordSend(serverId, startTimeOf(serverId));
			return observe(serverId, sentAt);
		},
	};
}
