/**
 * Counts the callers' requests that began to run, by window and organisation. A request counts once, in the window in which its first attempt
 * began to run: when it was sent, if the server had a free slot; otherwise when the server began to respond, or, for a response that
 * arrives whole, a usual run time before its end. Attempts whose end is not known yet count as running, because a window is read
 * long before the longest requests end. Starts are kept by the monotonic clock and assigned to windows when these are read, so that a
 * wall clock that was wrong meanwhile moves no request.
 */
import type {TrackedRequest} from '../../gateway/common/run-tracker.js';
import type {OrganisationCounts} from './duties-api.js';

/** The state of a server when an attempt is sent to it. */
export type AttemptServer = {
	readonly pool: string;
	/** Whether the request can begin to run as soon as it arrives. */
	readonly hasFreeSlot: boolean;
};

/** The counts of one daemon. Times are monotonic. */
export type UsageCounter = {
	/** Records an attempt that is sent. */
	readonly track: (request: TrackedRequest, server: AttemptServer, now: number) => {
		readonly begin: (now: number) => void;
		readonly end: (mayHaveRun: boolean, now: number) => void;
	};
	/**
	 * The counts of a window. `offsetMs` is the difference between Unix time and `now`. A window that has ended keeps the counts of its first
	 * reading, and the requests in it count in no other window, also when the offset changes afterwards.
	 */
	readonly read: (windowId: number, now: number, offsetMs: number) => OrganisationCounts;
	/** Forgets requests and windows that are too old to be asked for; `windowId` is the present window. */
	readonly forget: (now: number, windowId: number) => void;
};

/** The known start of a request. */
type Start = {
	readonly organisation: string;
	readonly at: number;
};

/** An attempt whose end is not known yet. */
type OpenAttempt = {
	/** When the attempt began to run, as far as is known. */
	beganAt: number;
	hasBegun: boolean;
};

type RequestRecord = {
	readonly organisation: string;
	readonly open: Set<OpenAttempt>;
	/** When the earliest attempt that has ended began to run. */
	ranAt: number | undefined;
};

/** Number of windows that are kept, as many as the holder of the duties collects late. */
const KEPT_WINDOWS = 24;
/** Usual run time of a pool before one was measured, in milliseconds. */
const INITIAL_RUN_MS = 200;
/** Weight of the newest run in the moving average of run times. */
const SMOOTHING_FACTOR = 0.05;

const ignored = {begin: () => undefined, end: () => undefined};

/** Creates a counter of windows of `windowMs`. */
export function createUsageCounter(windowMs: number): UsageCounter {
	const records = new Map<TrackedRequest, RequestRecord>();
	/** Requests whose start is known, or that were counted; another attempt of theirs counts no more. */
	const settled = new WeakSet<TrackedRequest>();
	/** Known starts of requests that are in no window yet that was read. */
	let starts: Start[] = [];
	const countsByWindow = new Map<number, OrganisationCounts>();
	const runMsByPool = new Map<string, number>();

	function firstStart(record: RequestRecord): number {
		return Math.min(record.ranAt ?? Number.POSITIVE_INFINITY, ...[...record.open].map(({beganAt}) => beganAt));
	}

	function close(request: TrackedRequest): void {
		settled.add(request);
		records.delete(request);
	}

	/** Keeps the start of a request once it can't change any more. */
	function settle(request: TrackedRequest, record: RequestRecord): void {
		if (record.ranAt !== undefined && firstStart(record) === record.ranAt) {
			starts.push({organisation: record.organisation, at: record.ranAt});
			close(request);
		} else if (record.open.size === 0) {
			records.delete(request);
		}
	}

	function recordRunTime({pool}: AttemptServer, tookMs: number): void {
		const known = runMsByPool.get(pool) ?? tookMs;
		runMsByPool.set(pool, known + (SMOOTHING_FACTOR * (tookMs - known)));
	}

	return {
		track(request, server, now) {
			if (request.organisation === undefined || settled.has(request)) {
				return ignored;
			}

			const record = records.get(request) ?? {organisation: request.organisation, open: new Set<OpenAttempt>(), ranAt: undefined};
			const attempt: OpenAttempt = {beganAt: now, hasBegun: server.hasFreeSlot};
			records.set(request, record);
			record.open.add(attempt);
			return {
				begin(beganAt) {
					if (!attempt.hasBegun) {
						attempt.beganAt = beganAt;
						attempt.hasBegun = true;
					}
				},
				end(mayHaveRun, endedAt) {
					if (!record.open.delete(attempt) || settled.has(request)) {
						return;
					}

					if (mayHaveRun && server.hasFreeSlot) {
						recordRunTime(server, endedAt - now);
					} else if (mayHaveRun && !attempt.hasBegun) {
						attempt.beganAt = Math.max(now, endedAt - (runMsByPool.get(server.pool) ?? INITIAL_RUN_MS));
					}

					record.ranAt = mayHaveRun ? Math.min(record.ranAt ?? Number.POSITIVE_INFINITY, attempt.beganAt) : record.ranAt;
					settle(request, record);
				},
			};
		},
		read(windowId, now, offsetMs) {
			const known = countsByWindow.get(windowId);
			if (known !== undefined) {
				return known;
			}

			const contains = (at: number): boolean => Math.floor((at + offsetMs) / windowMs) === windowId;
			const open = [...records].filter(([, record]) => record.open.size > 0 && contains(firstStart(record)));
			const sums = new Map<string, number>();
			[...starts.filter(({at}) => contains(at)), ...open.map(([, record]) => record)].forEach(({organisation}) => {
				sums.set(organisation, (sums.get(organisation) ?? 0) + 1);
			});
			const counts: OrganisationCounts = Object.fromEntries(sums);
			if ((windowId + 1) * windowMs <= now + offsetMs) {
				countsByWindow.set(windowId, counts);
				starts = starts.filter(({at}) => !contains(at));
				open.forEach(([request]) => {
					close(request);
				});
			}

			return counts;
		},
		forget(now, windowId) {
			const oldest = now - (KEPT_WINDOWS * windowMs);
			starts = starts.filter(({at}) => at >= oldest);
			[...records].filter(([, record]) => firstStart(record) < oldest).forEach(([request]) => {
				close(request);
			});
			[...countsByWindow.keys()].filter(id => id < windowId - KEPT_WINDOWS).forEach(id => {
				countsByWindow.delete(id);
			});
		},
	};
}
