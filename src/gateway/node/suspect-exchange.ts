/**
 * Exchanges suspects between the daemons of a hosted platform. The crashes of a request are counted by its keepers, two daemons that all
 * others choose alike. Once they suffice to refuse the request, a keeper stores them and tells all daemons.
 */
import {err, ok, type Result} from 'neverthrow';
import PQueue from 'p-queue';
import type {Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import {rankByRendezvous} from '../../base/common/hash.js';
import type {Random} from '../../base/common/random.js';
import type {Log} from '../../kernel/common/log.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {PeerDaemon, PeerMesh} from '../../peers/common/peer-mesh.js';
import {suspectRecord} from '../../requests/common/suspect-record.js';
import type {Crash, SuspectRules, SuspectTable} from '../../requests/common/suspect-table.js';
import type {SuspectTransport} from '../../requests/common/suspect-transport.js';
import type {SuspectObjects} from './suspect-objects.js';

/** The exchange of one daemon. */
export type SuspectExchange = Pick<SuspectTransport, 'announce' | 'report' | 'spread'> & Disposable & {
	/** Asks a keeper to let a request be tried once, after its refusal has ended; resolves with the id of the trial. */
	readonly claimTrial: (fingerprint: string) => Promise<Result<string, Failure>>;
};

/** Dependencies of the exchange. */
export type SuspectExchangeDependencies = {
	readonly table: SuspectTable;
	readonly rules: SuspectRules;
	readonly objects: SuspectObjects;
	readonly mesh: PeerMesh;
	readonly clock: Clock;
	readonly loop: Loop;
	readonly random: Random;
	readonly log: Log;
};

const KEEPERS = 2;
const CALL_TIMEOUT_MS = 400;
/** Time for which the second keeper waits for the first to store a request, so that mostly one of them writes. */
const SECOND_KEEPER_DELAY_MS = 1500;
/** Maximum number of concurrent calls of one announcement. */
const CONCURRENT_CALLS = 32;
/** Daemons that an announcement did not reach are called again this often, for this long. A daemon that starts asks for itself. */
const REPEAT_MS = 1000;
const REPEAT_FOR_MS = 60_000;
/** Interval at which a daemon asks another one for what it may have missed, and at which it tries until the first answer. */
const EXCHANGE_PERIOD_MS = 30_000;
const FIRST_EXCHANGE_PERIOD_MS = 1000;

const REPORT_CALL = 'suspect-crashes';
const ANNOUNCE_CALL = 'suspects-refused';
const LIST_CALL = 'suspects-known';
const TRIAL_CALL = 'suspect-trial';
/** Status of a keeper that refuses a trial. */
const STATUS_CONFLICT = 409;
/** Retry-after time when no keeper grants a trial, in milliseconds. */
const TRIAL_RETRY_AFTER_MS = 2000;

type Missed = {
	readonly daemon: PeerDaemon;
	readonly since: number;
	readonly fingerprints: Set<string>;
};

function groupBy<T>(values: readonly T[], keyOf: (value: T) => string): ReadonlyMap<string, readonly T[]> {
	const groups = new Map<string, T[]>();
	values.forEach(value => {
		groups.set(keyOf(value), [...groups.get(keyOf(value)) ?? [], value]);
	});
	return groups;
}

/** Creates the exchange and registers its side that serves other daemons. */
export function createSuspectExchange(dependencies: SuspectExchangeDependencies): SuspectExchange {
	const {
		table, rules, objects, mesh, clock, loop, random, log,
	} = dependencies;
	const calls = new PQueue({concurrency: CONCURRENT_CALLS});
	const missedByName = new Map<string, Missed>();
	let hasReadObjects = false;
	let hasAskedPeer = false;
	let trialCount = 0;
	let exchangedAt = Number.NEGATIVE_INFINITY;

	function rankKeepers(fingerprint: string): readonly PeerDaemon[] {
		return rankByRendezvous(`suspect ${fingerprint}`, [mesh.self, ...mesh.others()], daemon => daemon.name).slice(0, KEEPERS);
	}

	function crashesOf(fingerprints: Iterable<string>): readonly Crash[] {
		return [...fingerprints].flatMap(table.find);
	}

	function countCrashes(crashes: readonly Crash[]): number {
		return crashes.filter(crash => !crash.acquitted).length;
	}

	function parseCrashes(body: unknown, call: string): readonly Crash[] {
		const parsed = suspectRecord.safeParse(body);
		if (!parsed.success) {
			log.warn('suspects of another daemon can not be read', {call, problem: parsed.error.message});
		}

		return parsed.data?.crashes ?? [];
	}

	async function callWithCrashes(daemon: PeerDaemon, call: string, crashes: readonly Crash[]): Promise<boolean> {
		const replied = await mesh.call(daemon, call, {crashes}, CALL_TIMEOUT_MS);
		const isAccepted = replied.isOk() && replied.value.status === 200;
		if (!isAccepted) {
			log.debug('suspects not delivered', {peer: daemon.name, call, reason: replied.isErr() ? replied.error.message : `status ${replied.value.status}`});
		}

		return isAccepted;
	}

	async function announceTo(daemon: PeerDaemon, fingerprints: readonly string[]): Promise<void> {
		const now = clock.monotonic();
		const missed = missedByName.get(daemon.name) ?? {daemon, since: now, fingerprints: new Set<string>()};
		if (await calls.add(async () => callWithCrashes(daemon, ANNOUNCE_CALL, crashesOf(fingerprints)))) {
			fingerprints.forEach(fingerprint => {
				missed.fingerprints.delete(fingerprint);
			});
		} else {
			fingerprints.forEach(fingerprint => {
				missed.fingerprints.add(fingerprint);
			});
		}

		if (missed.fingerprints.size === 0 || now - missed.since > REPEAT_FOR_MS) {
			missedByName.delete(daemon.name);
		} else {
			missedByName.set(daemon.name, missed);
		}
	}

	async function announceAll(fingerprints: readonly string[]): Promise<void> {
		await Promise.all(mesh.others().map(async daemon => announceTo(daemon, fingerprints)));
	}

	/** Stores requests that need at most one more crash to be refused, so that their crashes are not forgotten if all daemons are restarted. */
	function save(fingerprints: readonly string[]): void {
		fingerprints.map(table.find).filter(known => known.length >= rules.crashesToRefuse - 1).forEach(known => {
			const isFirst = rankKeepers(known[0]!.fingerprint)[0]?.name === mesh.self.name;
			objects.save(known, isFirst ? 0 : SECOND_KEEPER_DELAY_MS);
		});
	}

	/** Stores and announces requests as their keeper. */
	function decide(fingerprints: readonly string[]): void {
		save(fingerprints);
		const decided = fingerprints.filter(fingerprint => table.find(fingerprint).length >= rules.crashesToRefuse);
		decided.forEach(fingerprint => {
			const known = table.find(fingerprint);
			const isRefused = countCrashes(known) >= rules.crashesToRefuse;
			log.info(isRefused ? 'request is refused because servers crashed under it' : 'request is no longer suspected', {fingerprint, servers: known.map(crash => crash.serverId)});
		});
		if (decided.length > 0) {
			void announceAll(decided);
		}
	}

	mesh.handle(REPORT_CALL, async body => {
		const changed = table.add(parseCrashes(body, REPORT_CALL), clock.monotonic());
		decide([...new Set(changed.map(crash => crash.fingerprint))]);
		return {status: 200, body: null};
	});
	mesh.handle(ANNOUNCE_CALL, async body => {
		table.add(parseCrashes(body, ANNOUNCE_CALL), clock.monotonic());
		return {status: 200, body: null};
	});
	mesh.handle(LIST_CALL, async () => {
		const refused = [...groupBy(table.list(), crash => crash.fingerprint).values()].filter(crashes => countCrashes(crashes) >= rules.crashesToRefuse);
		return {status: 200, body: {crashes: refused.flat()}};
	});

	/**
	 * Records a trial like a crash, before it begins: the request is refused for all others meanwhile, and the trial counts also if its end is not
	 * seen. It is withdrawn when the server did not crash.
	 */
	function grantTrial(fingerprint: string): Crash | undefined {
		const now = clock.monotonic();
		if (!table.check(fingerprint, now).map(isolation => isolation === 'trial').unwrapOr(false)) {
			return undefined;
		}

		trialCount += 1;
		// The name is unique over restarts: a crash with a known id would be taken for the known one.
		const name = `trial ${mesh.self.name}.${mesh.self.incarnation}.${trialCount}`;
		const trial: Crash = {
			fingerprint,
			crashId: `${fingerprint}/${name}`,
			serverId: name,
			at: 0,
			alone: false,
			acquitted: false,
			isTrial: true,
		};
		table.add([trial], now);
		decide([fingerprint]);
		return trial;
	}

	mesh.handle(TRIAL_CALL, async body => {
		const crashes = parseCrashes(body, TRIAL_CALL);
		table.add(crashes, clock.monotonic());
		const trial = crashes[0] === undefined ? undefined : grantTrial(crashes[0].fingerprint);
		return trial === undefined ? {status: STATUS_CONFLICT, body: null} : {status: 200, body: {crashes: [trial]}};
	});

	/** Asks one keeper for a trial; `unknown` if it did not answer. */
	async function askForTrial(keeper: PeerDaemon, fingerprint: string): Promise<string | 'refused' | 'unknown'> {
		if (keeper.name === mesh.self.name) {
			return grantTrial(fingerprint)?.crashId ?? 'refused';
		}

		const replied = await mesh.call(keeper, TRIAL_CALL, {crashes: table.find(fingerprint)}, CALL_TIMEOUT_MS);
		if (replied.isErr() || ![200, STATUS_CONFLICT].includes(replied.value.status)) {
			return 'unknown';
		}

		const trial = replied.value.status === 200 ? parseCrashes(replied.value.body, TRIAL_CALL)[0] : undefined;
		table.add(trial === undefined ? [] : [trial], clock.monotonic());
		return trial?.crashId ?? 'refused';
	}

	async function claimTrial(fingerprint: string): Promise<Result<string, Failure>> {
		const answer = await rankKeepers(fingerprint).reduce<Promise<string>>(async (previous, keeper) => {
			const known = await previous;
			return known === 'unknown' ? askForTrial(keeper, fingerprint) : known;
		}, Promise.resolve('unknown'));
		return answer === 'unknown' || answer === 'refused'
			? err(createNotRun('suspect', {step: 'claim trial', peer: 'keepers'}, answer === 'unknown' ? 'no keeper of the suspect answers' : 'another daemon tries the request, or its refusal goes on', TRIAL_RETRY_AFTER_MS))
			: ok(answer);
	}

	async function readObjects(): Promise<void> {
		const read = await objects.readAll();
		read.match(crashes => {
			hasReadObjects = true;
			table.add(crashes, clock.monotonic());
		}, failure => {
			log.debug('suspects can not be read from the store yet', {reason: failure.message});
		});
	}

	async function askPeer(): Promise<void> {
		const reachable = mesh.othersByReachability();
		const daemon = reachable[Math.floor(random() * reachable.length)];
		if (daemon === undefined) {
			return;
		}

		const replied = await mesh.call(daemon, LIST_CALL, {}, CALL_TIMEOUT_MS);
		replied.match(({status, body}) => {
			// A daemon of a version without suspects answers 404.
			hasAskedPeer ||= status === 200;
			table.add(status === 200 ? parseCrashes(body, LIST_CALL) : [], clock.monotonic());
		}, failure => {
			log.debug('another daemon did not list its suspects', {peer: daemon.name, reason: failure.message});
		});
	}

	function exchange(now: number): void {
		[...missedByName.values()].forEach(({daemon, fingerprints}) => {
			void announceTo(daemon, [...fingerprints]);
		});
		if (!hasReadObjects) {
			void readObjects();
		}

		if (!hasAskedPeer || now - exchangedAt >= EXCHANGE_PERIOD_MS) {
			exchangedAt = now;
			void askPeer();
		}
	}

	void readObjects();
	const task = loop.every({
		name: 'suspects', periodMs: Math.min(REPEAT_MS, FIRST_EXCHANGE_PERIOD_MS), jitterShare: 0.3, run: exchange,
	});
	return {
		async report(crashes) {
			const fingerprints = [...new Set(crashes.map(crash => crash.fingerprint))];
			const accepted = await Promise.all(fingerprints.map(async fingerprint => {
				const known = table.find(fingerprint);
				const results = await Promise.all(rankKeepers(fingerprint).map(async keeper => {
					if (keeper.name === mesh.self.name) {
						decide([fingerprint]);
						return true;
					}

					return callWithCrashes(keeper, REPORT_CALL, known);
				}));
				return results.includes(true);
			}));
			return !accepted.includes(false);
		},
		async announce(crashes) {
			const fingerprints = [...new Set(crashes.map(crash => crash.fingerprint))];
			save(fingerprints);
			await announceAll(fingerprints);
		},
		spread: () => undefined,
		claimTrial,
		dispose() {
			task.dispose();
			calls.clear();
		},
	};
}
