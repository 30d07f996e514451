/** Finds out whether a backend server crashed when the connection of a request broke, or when a request got no response. */
import type {Clock} from '../../base/common/clock.js';
import {createDisposable, type Disposable} from '../../base/common/disposable.js';
import type {Log} from '../../kernel/common/log.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {Metrics} from '../../kernel/common/metrics.js';
import type {EntryHistory} from '../common/entry-history.js';
import type {PortView} from '../common/port-view.js';
import {createSeenStarts, MAXIMUM_ENTRY_DELAY_MS, USUAL_ENTRY_DELAY_MS} from '../common/seen-starts.js';
import {
	hasRunCrashed, keyOfRun, type RunAttempt, type ServerRun,
} from '../common/server-run.js';
import type {ServerEntry, ServerView} from '../common/server-view.js';
import type {PortInspection} from './port-inspection.js';

/** How an attempt ended whose server may have crashed. */
export type AttemptEnd = 'broken' | 'silent' | 'open';

/** Detects crashes of backend servers. */
export type CrashDetector = Disposable & {
	/** An attempt that is sent to a server now. */
	readonly currentRun: (serverId: string) => RunAttempt;
	/** Looks at the server at once. Each verdict resolves with whether the run has crashed. */
	readonly inspect: (run: RunAttempt, end: Exclude<AttemptEnd, 'open'>) => {
		/** Resolves within a bounded time, as far as it is known by then. */
		readonly first: Promise<boolean>;
		/** Resolves once entries show a crash, or with false when they have been up to date for `VERDICT_TIMEOUT_MS`. */
		readonly final: Promise<boolean>;
	};
	/** Calls the listener once if entries show that the run has crashed while a request on it is open, until it is disposed. */
	readonly watch: (run: RunAttempt, onDidCrash: () => void) => Disposable;
	/** Calls the listener with runs that still serve, although their ports had been refused as if they had crashed. */
	readonly onDidWithdraw: (listener: (run: ServerRun) => void) => void;
	/** Whether the run is known to have crashed. */
	readonly hasCrashed: (run: ServerRun) => boolean;
	/** Records that an attempt got a complete response now. */
	readonly recordAlive: (run: RunAttempt) => void;
	/** Whether the run very probably completed a response after a monotonic time, so that its crash came later. */
	readonly wasAliveAfter: (run: ServerRun, at: number) => boolean;
	/** The runs of other servers that crashed at about the same time, as keys. */
	readonly listRecentCrashes: (run: ServerRun, now: number) => readonly string[];
};

/** Dependencies of a detector. */
export type CrashDetectorDependencies = {
	readonly view: Pick<ServerView, 'all' | 'connectedSince' | 'find' | 'onDidChange'>;
	/** The last entries of servers, which is kept up to date. */
	readonly history: EntryHistory;
	readonly ports: PortInspection;
	readonly clock: Clock;
	readonly loop: Loop;
	readonly log: Log;
	readonly metrics: Metrics;
};

/** Time within which the entry of a crashed server disappears or shows a later start: three heartbeats of a server, and the time to hear of it. */
const VERDICT_TIMEOUT_MS = 6000;
/** Maximum time to wait for a verdict while the entries can not be read. */
const MAXIMUM_VERDICT_WAIT_MS = 60_000;
/** Crashes within this time of each other may have one cause. */
const COMMON_CRASH_WINDOW_MS = 3000;
/** Crashed runs are remembered for this long, so that requests whose end is noticed later are attributed to them. */
const CRASH_RETENTION_MS = 60_000;

/** A port that was probed within this time is not probed again, because one crash breaks the connections of many requests. */
const PROBE_REUSE_MS = 250;

/** Maximum number of runs whose last response is remembered, well above the number of servers of a site. */
const MAXIMUM_ALIVE_RUNS = 4000;

type Inspection = {
	readonly port: Promise<PortView>;
	readonly probedAt: number;
};

/** A crash that was detected. */
type RecordedCrash = {
	readonly run: ServerRun;
	readonly at: number;
	/** Whether only ports show the crash, and no entry does. */
	readonly isSeenByPort: boolean;
	/** Whether the entry has been missing since. */
	wasMissing: boolean;
};

/** A request whose server may have crashed, and the listener for the verdict that it has. */
type Watch = {
	readonly run: RunAttempt;
	readonly end: AttemptEnd;
	/** As in `RunEvidence`. */
	readonly wasListed: boolean;
	/** Whether the port was inspected after the entry had disappeared. */
	isInspected: boolean;
	readonly onDidCrash: () => void;
};

/** Creates the detector of a daemon. */
export function createCrashDetector({
	view, history, ports, clock, loop, log, metrics,
}: CrashDetectorDependencies): CrashDetector {
	const inspections = new Map<string, Inspection>();
	const crashes = new Map<string, RecordedCrash>();
	const watches = new Set<Watch>();
	let isOpen = true;
	const withdrawalListeners: Array<(run: ServerRun) => void> = [];
	/** The attempt with the last complete response of each run, and the monotonic time of that response. */
	const aliveByRun = new Map<string, {readonly run: RunAttempt; readonly at: number}>();
	const starts = createSeenStarts();

	function recordStarts(): void {
		starts.update(view.all(), view.connectedSince(), clock.monotonic());
	}

	/** Whether an entry at a server's address is of another server that started later, and was first seen after the attempt began. The entry of an earlier server at the address stays for some seconds. */
	function isSuccessor(entry: ServerEntry, last: ServerEntry, run: RunAttempt): boolean {
		return entry.id !== last.id && entry.startedAt !== undefined && last.startedAt !== undefined && entry.startedAt > last.startedAt && starts.isFirstSeenAfter(entry.id, run);
	}

	/** Withdraws crashes that only ports had shown, once entries show that the run goes on: it is listed again, or still after `VERDICT_TIMEOUT_MS`. */
	function checkListed(now: number): void {
		const connectedSince = view.connectedSince();
		[...crashes].filter(([, {isSeenByPort}]) => isSeenByPort).forEach(([key, crash]) => {
			const current = view.find(crash.run.serverId);
			if (current === undefined) {
				crash.wasMissing = true;
				return;
			}

			const isSameRun = current.startedAt !== undefined && current.startedAt === crash.run.startedAt && !current.isLeaving;
			const isConfirmed = connectedSince !== undefined && now - Math.max(crash.at, connectedSince) >= VERDICT_TIMEOUT_MS;
			if (!isOpen || !isSameRun || !(crash.wasMissing || isConfirmed)) {
				return;
			}

			crashes.delete(key);
			log.info('backend server has not crashed', {serverId: crash.run.serverId, startedAt: crash.run.startedAt, evidence: 'entry'});
			metrics.count('server.crashes_withdrawn', 1);
			withdrawalListeners.forEach(listener => {
				listener(crash.run);
			});
		});
	}

	function recordCrash({serverId, startedAt}: ServerRun, isSeenByPort: boolean): void {
		const now = clock.monotonic();
		[...crashes].filter(([, {at}]) => now - at > CRASH_RETENTION_MS).forEach(([old]) => {
			crashes.delete(old);
		});
		const run = {serverId, startedAt};
		const evidence = isSeenByPort ? 'port' : 'entry';
		crashes.set(keyOfRun(run), {
			run, at: now, isSeenByPort, wasMissing: !history.isListed(serverId),
		});
		log.info('backend server crashed', {...run, evidence});
		metrics.count('server.crashes', 1, {evidence});
		if (isSeenByPort) {
			endWatch(now, now, () => {
				checkListed(clock.monotonic());
			});
		}
	}

	function judge({run, end, wasListed}: Pick<Watch, 'run' | 'end' | 'wasListed'>, port: PortView): boolean {
		const last = history.find(run.serverId);
		const current = view.find(run.serverId);
		const isAddressTaken = last !== undefined && history.listAt(last.address, last.port).some(entry => isSuccessor(entry, last, run));
		// A connection to the next start does not break, unless that one ends as well or its link is cut.
		const mayBeOfNextStart = end !== 'broken' && starts.mayHaveRunOnNext(run, MAXIMUM_ENTRY_DELAY_MS);
		const evidence = {
			last, wasListed, current, mayBeOfNextStart, isAddressTaken, port,
		};
		const hasCrashed = hasRunCrashed(run, evidence);
		const known = crashes.get(keyOfRun(run));
		if (hasCrashed && known === undefined) {
			recordCrash(run, !hasRunCrashed(run, {...evidence, port: 'unknown'}));
		}

		return hasCrashed || (known?.isSeenByPort === true && run.begunAt <= known.at);
	}

	async function inspectPort(run: RunAttempt): Promise<PortView> {
		const key = keyOfRun(run);
		const known = inspections.get(key);
		const now = clock.monotonic();
		if (known !== undefined && now - known.probedAt < PROBE_REUSE_MS) {
			return known.port;
		}

		const last = history.find(run.serverId);
		const inspection: Inspection = {port: last === undefined ? Promise.resolve('unknown') : ports.inspect(last), probedAt: now};
		inspections.set(key, inspection);
		loop.after(PROBE_REUSE_MS, () => {
			if (inspections.get(key) === inspection) {
				inspections.delete(key);
			}
		});
		return inspection.port;
	}

	function watch(watched: Watch): Disposable {
		watches.add(watched);
		return createDisposable(() => {
			watches.delete(watched);
		});
	}

	/** Calls `end` once the entries have been up to date for long enough to show a crash that happened before `startedAt`. */
	function endWatch(startedAt: number, now: number, end: () => void): void {
		const dueAt = Math.max(startedAt, view.connectedSince() ?? now) + VERDICT_TIMEOUT_MS;
		if (now >= Math.min(dueAt, startedAt + MAXIMUM_VERDICT_WAIT_MS)) {
			end();
			return;
		}

		loop.after(Math.min(VERDICT_TIMEOUT_MS, dueAt - now), later => {
			endWatch(startedAt, later, end);
		});
	}

	/** Waits until entries show whether a run has crashed. */
	async function awaitVerdict({run, end, wasListed}: Pick<Watch, 'run' | 'end' | 'wasListed'>): Promise<boolean> {
		return new Promise(resolve => {
			const watching = watch({
				run, end, wasListed, isInspected: false, onDidCrash() {
					resolve(true);
				},
			});
			endWatch(clock.monotonic(), clock.monotonic(), () => {
				watching.dispose();
				const hasCrashed = judge({run, end, wasListed}, 'unknown');
				if (!hasCrashed) {
					log.debug('no crash of the backend server is known', {serverId: run.serverId, startedAt: run.startedAt, isListed: history.isListed(run.serverId)});
				}

				resolve(hasCrashed);
			});
		});
	}

	function finish(watched: Watch, port: PortView): boolean {
		if (!watches.has(watched) || !judge(watched, port)) {
			return false;
		}

		watches.delete(watched);
		watched.onDidCrash();
		return true;
	}

	recordStarts();
	view.onDidChange(() => {
		recordStarts();
		checkListed(clock.monotonic());
		watches.forEach(watched => {
			if (!finish(watched, 'unknown') && watched.wasListed && !watched.isInspected && !history.isListed(watched.run.serverId)) {
				watched.isInspected = true;
				void inspectPort(watched.run).then(port => finish(watched, port));
			}
		});
	});

	return {
		currentRun: serverId => ({
			serverId, startedAt: view.find(serverId)?.startedAt, begunAt: clock.monotonic(),
		}),
		inspect(run, end) {
			const ended = {run, end, wasListed: end === 'silent' || history.isListed(run.serverId)};
			return {
				first: inspectPort(run).then(port => judge(ended, port)),
				final: judge(ended, 'unknown') ? Promise.resolve(true) : awaitVerdict(ended),
			};
		},
		watch: (run, onDidCrash) => watch({
			run, end: 'open', wasListed: true, isInspected: false, onDidCrash,
		}),
		onDidWithdraw(listener) {
			withdrawalListeners.push(listener);
		},
		hasCrashed: run => crashes.has(keyOfRun(run)),
		recordAlive(run) {
			const key = keyOfRun(run);
			// The newest entry is last, so that the oldest ones are dropped first.
			aliveByRun.delete(key);
			aliveByRun.set(key, {run, at: clock.monotonic()});
			if (aliveByRun.size > MAXIMUM_ALIVE_RUNS) {
				aliveByRun.delete([...aliveByRun.keys()][0]!);
			}
		},
		wasAliveAfter(run, at) {
			const alive = aliveByRun.get(keyOfRun(run));
			return alive !== undefined && alive.at > at && !starts.mayHaveRunOnNext(alive.run, USUAL_ENTRY_DELAY_MS);
		},
		listRecentCrashes: (run, now) => [...crashes].filter(([key, {at}]) => key !== keyOfRun(run) && now - at < COMMON_CRASH_WINDOW_MS).map(([key]) => key),
		dispose() {
			isOpen = false;
			watches.clear();
		},
	};
}
