/**
 * Backend servers that announced in a response that they are leaving. The store may list such a server as ready for a long time
 * afterwards, so a notice outlives the server's entry and ends only when the server starts again.
 */
import {z} from 'zod';

/** Says that one run of a server is leaving. */
export type LeavingNotice = {
	readonly serverId: string;
	/** Unix time in milliseconds at which the leaving run of the server started; undefined when the server did not report it. */
	readonly startedAt: number | undefined;
};

/** Schema of a notice that another daemon has sent. */
export const leavingNoticeSchema = z.object({serverId: z.string(), startedAt: z.number().optional()});

/** The leaving notices that one daemon knows. */
export type LeavingNotices = {
	/** Records a notice and returns whether it is new. */
	readonly record: (notice: LeavingNotice, now: number) => boolean;
	/** Whether the run of a server that started at `startedAt` is leaving. */
	readonly isLeaving: (serverId: string, startedAt: number | undefined) => boolean;
	/** Ends the notice of another run, because the run that started at `startedAt` serves, although it states an earlier start. */
	readonly end: (serverId: string, startedAt: number | undefined) => void;
	/** Lists the notices that other daemons may not know: recent ones, and those of servers for which `isListed` is true. */
	readonly list: (isListed: (serverId: string) => boolean, now: number) => readonly LeavingNotice[];
};

/** Maximum number of notices; the oldest are dropped first. A release of the largest planned fleet replaces 1,100 servers. */
const MAXIMUM_NOTICES = 2000;
/** Every notice is sent to other daemons for at least this long, which is longer than a leaving server continues to serve. */
const MINIMUM_SHARING_MS = 60_000;

function isOfLaterStart(startedAt: number | undefined, notice: LeavingNotice): boolean {
	return startedAt !== undefined && notice.startedAt !== undefined && startedAt > notice.startedAt;
}

/** Creates an empty set of notices. */
export function createLeavingNotices(): LeavingNotices {
	const noticeByServer = new Map<string, LeavingNotice & {readonly recordedAt: number}>();
	/** Start times of runs whose notices have ended, which other daemons may still send. */
	const endedByServer = new Map<string, number | undefined>();
	return {
		record(notice, now) {
			const known = noticeByServer.get(notice.serverId);
			const hasEnded = endedByServer.has(notice.serverId) && endedByServer.get(notice.serverId) === notice.startedAt;
			if (hasEnded || (known !== undefined && !isOfLaterStart(notice.startedAt, known))) {
				return false;
			}

			noticeByServer.delete(notice.serverId);
			noticeByServer.set(notice.serverId, {...notice, recordedAt: now});
			[...noticeByServer.keys()].slice(0, Math.max(0, noticeByServer.size - MAXIMUM_NOTICES)).forEach(serverId => {
				noticeByServer.delete(serverId);
			});
			return true;
		},
		isLeaving(serverId, startedAt) {
			const notice = noticeByServer.get(serverId);
			return notice !== undefined && !isOfLaterStart(startedAt, notice);
		},
		end(serverId, startedAt) {
			const known = noticeByServer.get(serverId);
			if (known !== undefined && known.startedAt !== startedAt) {
				noticeByServer.delete(serverId);
				endedByServer.delete(serverId);
				endedByServer.set(serverId, known.startedAt);
				[...endedByServer.keys()].slice(0, Math.max(0, endedByServer.size - MAXIMUM_NOTICES)).forEach(id => {
					endedByServer.delete(id);
				});
			}
		},
		list: (isListed, now) => [...noticeByServer.values()]
			.filter(({serverId, recordedAt}) => now - recordedAt < MINIMUM_SHARING_MS || isListed(serverId))
			.map(({serverId, startedAt}) => ({serverId, startedAt})),
	};
}
