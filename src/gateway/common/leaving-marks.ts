/**
 * Backend servers that said themselves that they are leaving. The store may show such a server as ready for long, so a mark
 * outlives its entry and ends only with another start of the server.
 */

/** A server that is leaving. */
export type LeavingMark = {
	readonly serverId: string;
	/** Unix time in milliseconds at which the leaving run of the server started; undefined when it did not say. */
	readonly startedAt: number | undefined;
};

/** The marks of one daemon. */
export type LeavingMarks = {
	/** Takes a mark; returns whether it was not known. */
	readonly note: (mark: LeavingMark, now: number) => boolean;
	/** Whether the run of a server that started at `startedAt` is leaving. */
	readonly isLeaving: (serverId: string, startedAt: number | undefined) => boolean;
	/** Marks that other daemons may lack: new ones, and those of servers that `isListed` still shows. */
	readonly list: (isListed: (serverId: string) => boolean, now: number) => readonly LeavingMark[];
};

/** Marks that are kept; the oldest goes first. A release of the largest planned fleet replaces 1,100 servers. */
const LARGEST_MEMORY = 2000;
/** A mark is told to others for this long in any case: longer than a leaving server serves on. */
const TELL_MS = 60_000;

function isOfLaterStart(startedAt: number | undefined, mark: LeavingMark): boolean {
	return startedAt !== undefined && mark.startedAt !== undefined && startedAt > mark.startedAt;
}

/** Creates an empty memory. */
export function createLeavingMarks(): LeavingMarks {
	const marks = new Map<string, LeavingMark & {readonly notedAt: number}>();
	return {
		note(mark, now) {
			const known = marks.get(mark.serverId);
			if (known !== undefined && !isOfLaterStart(mark.startedAt, known)) {
				return false;
			}

			marks.delete(mark.serverId);
			marks.set(mark.serverId, {...mark, notedAt: now});
			[...marks.keys()].slice(0, Math.max(0, marks.size - LARGEST_MEMORY)).forEach(serverId => {
				marks.delete(serverId);
			});
			return true;
		},
		isLeaving(serverId, startedAt) {
			const mark = marks.get(serverId);
			return mark !== undefined && !isOfLaterStart(startedAt, mark);
		},
		list: (isListed, now) => [...marks.values()]
			.filter(({serverId, notedAt}) => now - notedAt < TELL_MS || isListed(serverId))
			.map(({serverId, startedAt}) => ({serverId, startedAt})),
	};
}
