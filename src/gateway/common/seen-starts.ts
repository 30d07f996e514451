/**
 * The order in which one daemon saw the starts of backend servers. Start times that servers state are readings of their own clocks,
 * which may differ from this daemon's by seconds and jump, so an attempt is related to a start by what this daemon saw first.
 */
import type {RunAttempt} from './server-run.js';
import type {ServerEntry} from './server-view.js';

/** The starts that one daemon has seen. */
export type SeenStarts = {
	/** Applies the complete list of current entries, which have been up to date since `connectedSince`, or are outdated when it is undefined. */
	readonly update: (entries: readonly ServerEntry[], connectedSince: number | undefined, now: number) => void;
	/** Whether the first entry of a server was seen after an attempt had begun. */
	readonly isFirstSeenAfter: (serverId: string, attempt: RunAttempt) => boolean;
	/** Whether an attempt may have run on the start that followed the one known when it began, if the entry of that start was at most `entryDelayMs` old when this daemon saw it. */
	readonly mayHaveRunOnNext: (attempt: RunAttempt, entryDelayMs: number) => boolean;
};

/** Time within which the entry of a start reaches a daemon whose entries are up to date: a write to the store, and a poll of the entries every 1,200 ms. */
export const MAXIMUM_ENTRY_DELAY_MS = 1250;
/** Time within which most entries of starts reach a daemon. */
export const USUAL_ENTRY_DELAY_MS = 900;
/** The starts of removed servers are remembered for this long, as their entries are. */
const REMOVED_START_TTL_MS = 60_000;

type SeenStart = {
	readonly startedAt: number | undefined;
	/** The start before; undefined when none was seen. */
	readonly previous: number | undefined;
	readonly firstSeenAt: number;
	/** The last time at which the store is known not to have held the entry, apart from the delay of the entry itself. */
	readonly absentUntil: number;
	readonly listedAt: number;
};

/** Creates an empty record. */
export function createSeenStarts(): SeenStarts {
	const startByServer = new Map<string, SeenStart>();
	let upToDateAt = Number.NEGATIVE_INFINITY;
	return {
		update(entries, connectedSince, now) {
			// A start during an outage of the store may be as old as the outage.
			const wasUpToDate = connectedSince !== undefined && connectedSince <= upToDateAt;
			const absentUntil = wasUpToDate ? now : Math.min(now, upToDateAt);
			entries.forEach(({id, startedAt}) => {
				const known = startByServer.get(id);
				startByServer.set(id, known !== undefined && known.startedAt === startedAt
					? {...known, listedAt: now}
					: {
						startedAt, previous: known?.startedAt, firstSeenAt: known?.firstSeenAt ?? now, absentUntil, listedAt: now,
					});
			});
			[...startByServer].filter(([, {listedAt}]) => now - listedAt > REMOVED_START_TTL_MS).forEach(([id]) => {
				startByServer.delete(id);
			});
			upToDateAt = connectedSince === undefined ? upToDateAt : now;
		},
		isFirstSeenAfter: (serverId, {begunAt}) => (startByServer.get(serverId)?.firstSeenAt ?? Number.NEGATIVE_INFINITY) > begunAt,
		mayHaveRunOnNext({serverId, startedAt, begunAt}, entryDelayMs) {
			const known = startByServer.get(serverId);
			// Where a second start has been seen since, the attempt's run has ended, whichever of the two it was.
			return known !== undefined && known.startedAt !== startedAt && known.previous === startedAt && begunAt >= known.absentUntil - entryDelayMs;
		},
	};
}
