/** Finds out whether a backend server crashed when the connection of a request broke. */
import type {Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import type {Log} from '../../kernel/common/log.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {Metrics} from '../../kernel/common/metrics.js';
import type {PortState} from '../../limits/common/stopped-daemons.js';
import type {PeerAddress} from '../../peers/common/peers.js';
import {hasRunCrashed, keyOfRun, type ServerRun} from '../common/server-run.js';
import type {ServerView} from '../common/server-view.js';

/** Detects crashes of backend servers. */
export type CrashDetector = Disposable & {
	/** The run of a server that gets the requests sent now. */
	readonly currentRun: (serverId: string) => ServerRun;
	/** Looks at the server at once; resolves within a bounded time with whether the run has crashed, as far as it is known by then. */
	readonly inspect: (run: ServerRun) => Promise<boolean>;
	/** Resolves with whether the run has crashed once its entry shows it, or with false when `VERDICT_TIMEOUT_MS` has passed. */
	readonly awaitVerdict: (run: ServerRun) => Promise<boolean>;
	/** Whether the run is known to have crashed. */
	readonly hasCrashed: (run: ServerRun) => boolean;
	/** The runs of other servers that crashed at about the same time, as keys. */
	readonly listRecentCrashes: (run: ServerRun, now: number) => readonly string[];
};

/** Dependencies of a detector. */
export type CrashDetectorDependencies = {
	readonly view: Pick<ServerView, 'all' | 'find' | 'onDidChange'>;
	readonly probe: (peer: PeerAddress) => Promise<PortState>;
	readonly clock: Clock;
	readonly loop: Loop;
	readonly log: Log;
	readonly metrics: Metrics;
};

/** Time within which the entry of a crashed server disappears or shows a later start: three heartbeats of a server, and the time to hear of it. */
const VERDICT_TIMEOUT_MS = 6000;
/** Crashes within this time of each other may have one cause. */
const COMMON_CRASH_WINDOW_MS = 3000;
/** Crashed runs are remembered for this long, so that requests whose end is noticed later are attributed to them. */
const CRASH_RETENTION_MS = 60_000;

/** A port that was probed within this time is not probed again, because one crash breaks the connections of many requests. */
const PROBE_REUSE_MS = 250;

type Inspection = {
	readonly port: Promise<PortState>;
	readonly probedAt: number;
	/** The server's entry when the connection broke, in case it is removed later. */
	readonly before: ReturnType<ServerView['find']>;
};

/** Creates the detector of a daemon. */
export function createCrashDetector({
	view, probe, clock, loop, log, metrics,
}: CrashDetectorDependencies): CrashDetector {
	const inspections = new Map<string, Inspection>();
	const crashedAtByRun = new Map<string, number>();
	const waiters = new Map<string, {readonly run: ServerRun; readonly settle: Array<(hasCrashed: boolean) => void>}>();

	function recordCrash(run: ServerRun, evidence: string): void {
		const key = keyOfRun(run);
		if (crashedAtByRun.has(key)) {
			return;
		}

		const now = clock.monotonic();
		[...crashedAtByRun].filter(([, at]) => now - at > CRASH_RETENTION_MS).forEach(([old]) => {
			crashedAtByRun.delete(old);
		});
		crashedAtByRun.set(key, now);
		log.info('backend server crashed', {...run, evidence});
		metrics.count('server.crashes', 1, {evidence});
	}

	function judge(run: ServerRun, port: PortState): boolean {
		const key = keyOfRun(run);
		if (crashedAtByRun.has(key)) {
			return true;
		}

		const before = inspections.get(key)?.before;
		const current = view.find(run.serverId);
		const isAddressTaken = before !== undefined && view.all().some(entry => entry.id !== before.id && entry.address === before.address && entry.port === before.port);
		const hasCrashed = hasRunCrashed(run, {
			before, current, isAddressTaken, port,
		});
		if (hasCrashed) {
			recordCrash(run, port === 'refused' ? 'port' : 'entry');
		}

		return hasCrashed;
	}

	function beginInspection(run: ServerRun): Inspection {
		const key = keyOfRun(run);
		const known = inspections.get(key);
		const now = clock.monotonic();
		if (known !== undefined && now - known.probedAt < PROBE_REUSE_MS) {
			return known;
		}

		const before = known?.before ?? view.find(run.serverId);
		const port = before === undefined ? Promise.resolve<PortState>('unknown') : probe({address: before.address, peerPort: before.port});
		const inspection = {port, before, probedAt: now};
		inspections.set(key, inspection);
		loop.after(VERDICT_TIMEOUT_MS, () => {
			if (inspections.get(key) === inspection) {
				inspections.delete(key);
				if (waiters.has(key)) {
					log.info('no crash of the backend server is known', {...run, isListed: view.find(run.serverId) !== undefined});
				}

				settle(key, crashedAtByRun.has(key));
			}
		});
		return inspection;
	}

	function settle(key: string, hasCrashed: boolean): void {
		const waiter = waiters.get(key);
		waiters.delete(key);
		waiter?.settle.forEach(resolve => {
			resolve(hasCrashed);
		});
	}

	view.onDidChange(() => {
		[...waiters].filter(([, {run}]) => judge(run, 'unknown')).forEach(([key]) => {
			settle(key, true);
		});
	});

	return {
		currentRun: serverId => ({serverId, startedAt: view.find(serverId)?.startedAt}),
		async inspect(run) {
			return judge(run, await beginInspection(run).port);
		},
		async awaitVerdict(run) {
			const key = keyOfRun(run);
			if (judge(run, 'unknown') || !inspections.has(key)) {
				return crashedAtByRun.has(key);
			}

			return new Promise(resolve => {
				const waiter = waiters.get(key) ?? {run, settle: []};
				waiter.settle.push(resolve);
				waiters.set(key, waiter);
			});
		},
		hasCrashed: run => crashedAtByRun.has(keyOfRun(run)),
		listRecentCrashes: (run, now) => [...crashedAtByRun].filter(([key, at]) => key !== keyOfRun(run) && now - at < COMMON_CRASH_WINDOW_MS).map(([key]) => key),
		dispose() {
			[...waiters.keys()].forEach(key => {
				settle(key, false);
			});
		},
	};
}
