/**
 * Request limits that backend servers state in their responses. A limit holds for all daemons together and for as long as the
 * server states it. Daemons tell each other about changes, so each daemon keeps the newest statement that it knows of.
 */
import {z} from 'zod';

/** What one run of a server last stated about the requests that it takes. */
export type ServerLimit = {
	readonly serverId: string;
	/** Unix time in milliseconds at which this run of the server started; undefined when the server did not report it. */
	readonly startedAt: number | undefined;
	/** Requests a second from all daemons together; undefined once the server has stopped stating a limit. */
	readonly perSecond: number | undefined;
	/** Monotonic time at which the statement was received. */
	readonly statedAt: number;
};

/** A limit in the form that daemons send to each other as JSON. */
export type ServerLimitNotice = {
	readonly serverId: string;
	readonly startedAt?: number;
	readonly perSecond?: number;
	/** Milliseconds since the statement was received. */
	readonly ageMs: number;
};

/** Schema of a notice that another daemon has sent. */
export const limitNoticeSchema = z.object({
	serverId: z.string(), startedAt: z.number().optional(), perSecond: z.number().optional(), ageMs: z.number(),
});

/** A response of a server, as far as it concerns the limit. */
export type LimitStatement = {
	readonly serverId: string;
	readonly startedAt: number | undefined;
	readonly perSecond: number | undefined;
	/** Monotonic time at which the request was sent. */
	readonly sentAt: number;
};

/** A change of a limit. */
export type LimitChange = {
	readonly limit: ServerLimit;
	/** The limit before; undefined when the server had none. */
	readonly previousPerSecond: number | undefined;
	/** Whether this daemon received the statement from the server itself. */
	readonly isOwn: boolean;
	/** Whether the change is large enough to tell other daemons about it. */
	readonly isSignificant: boolean;
};

/** The limits that one daemon knows. */
export type ServerLimits = {
	/** Records a response of a server that is not restarting under the same id. */
	readonly recordResponse: (statement: LimitStatement, now: number) => void;
	/** Records what another daemon knows. */
	readonly recordNotice: (notice: ServerLimitNotice, now: number) => void;
	/** The limit in force on the run of a server that started at `startedAt`, in requests a second; undefined when there is none. */
	readonly perSecondOf: (serverId: string, startedAt: number | undefined) => number | undefined;
	/** The newest statement about a server, for other daemons; undefined when nothing is known. */
	readonly notice: (serverId: string, now: number) => ServerLimitNotice | undefined;
	/** Lists the statements that changed after a revision, and the revision that includes them. */
	readonly since: (revision: number, now: number) => {readonly revision: number; readonly notices: readonly ServerLimitNotice[]};
	/** Calls the listener after each change. */
	readonly onDidChange: (listener: (change: LimitChange) => void) => void;
};

/** Maximum number of servers whose statements are kept; the oldest are dropped first. The largest planned fleet has 1,100 servers. */
const MAXIMUM_SERVERS = 4000;
/** Other daemons are told about a change of at least this share. The daemon that divides a limit learns smaller changes with each request for permits. */
const SIGNIFICANT_SHARE = 0.1;

type Entry = ServerLimit & {
	readonly changedAt: number;
	/** The value that other daemons were last told. */
	readonly sharedPerSecond: number | undefined;
	readonly revision: number;
};

function isOfLaterStart(startedAt: number | undefined, known: Pick<ServerLimit, 'startedAt'>): boolean {
	return startedAt !== undefined && known.startedAt !== undefined && startedAt > known.startedAt;
}

function isSignificantChange(perSecond: number | undefined, known: number | undefined): boolean {
	return perSecond === undefined || known === undefined ? perSecond !== known : Math.abs(perSecond - known) > SIGNIFICANT_SHARE * known;
}

/** Creates an empty set of limits. */
export function createServerLimits(): ServerLimits {
	const entryByServer = new Map<string, Entry>();
	const listeners: Array<(change: LimitChange) => void> = [];
	let revision = 0;

	function store(limit: ServerLimit, isOwn: boolean): void {
		const known = entryByServer.get(limit.serverId);
		// The limit of an earlier run of the server is over, also where the new run states the same.
		const isNewRun = known === undefined || isOfLaterStart(limit.startedAt, known);
		const previous = isNewRun ? undefined : known.perSecond;
		const shared = isNewRun ? undefined : known.sharedPerSecond;
		if (known === undefined && limit.perSecond === undefined) {
			return;
		}

		const hasChanged = limit.perSecond !== previous;
		const isSignificant = isSignificantChange(limit.perSecond, shared);
		revision += isSignificant ? 1 : 0;
		entryByServer.delete(limit.serverId);
		entryByServer.set(limit.serverId, {
			...limit,
			changedAt: hasChanged ? limit.statedAt : known?.changedAt ?? limit.statedAt,
			sharedPerSecond: isSignificant ? limit.perSecond : shared,
			revision: isSignificant ? revision : known?.revision ?? revision,
		});
		[...entryByServer.keys()].slice(0, Math.max(0, entryByServer.size - MAXIMUM_SERVERS)).forEach(serverId => {
			entryByServer.delete(serverId);
		});
		if (hasChanged) {
			listeners.forEach(listener => {
				listener({
					limit, previousPerSecond: previous, isOwn, isSignificant,
				});
			});
		}
	}

	function toNotice({serverId, startedAt, perSecond, statedAt}: ServerLimit, now: number): ServerLimitNotice {
		return {
			serverId, ageMs: Math.max(0, now - statedAt), ...(startedAt !== undefined && {startedAt}), ...(perSecond !== undefined && {perSecond}),
		};
	}

	return {
		recordResponse({serverId, startedAt, perSecond, sentAt}, now) {
			const known = entryByServer.get(serverId);
			if (known !== undefined && isOfLaterStart(known.startedAt, {startedAt})) {
				return;
			}

			// A response to a request that was sent before the last change may be older than that change. It may lower the limit, but neither raise nor end it.
			const isRaise = known?.perSecond !== undefined && (perSecond === undefined || perSecond > known.perSecond);
			if (isRaise && sentAt < known.changedAt && !isOfLaterStart(startedAt, known)) {
				return;
			}

			store({
				serverId, startedAt: startedAt ?? known?.startedAt, perSecond, statedAt: now,
			}, true);
		},
		recordNotice({serverId, startedAt, perSecond, ageMs}, now) {
			const limit: ServerLimit = {
				serverId, startedAt, perSecond, statedAt: now - ageMs,
			};
			const known = entryByServer.get(serverId);
			const isNewer = known === undefined || isOfLaterStart(limit.startedAt, known) || (limit.statedAt > known.statedAt && !isOfLaterStart(known.startedAt, limit));
			if (isNewer) {
				store(limit, false);
			}
		},
		perSecondOf(serverId, startedAt) {
			const known = entryByServer.get(serverId);
			return known === undefined || isOfLaterStart(startedAt, known) ? undefined : known.perSecond;
		},
		notice(serverId, now) {
			const known = entryByServer.get(serverId);
			return known === undefined ? undefined : toNotice(known, now);
		},
		since: (after, now) => ({
			revision,
			notices: [...entryByServer.values()].filter(entry => entry.revision > after).map(entry => toNotice(entry, now)),
		}),
		onDidChange(listener) {
			listeners.push(listener);
		},
	};
}
