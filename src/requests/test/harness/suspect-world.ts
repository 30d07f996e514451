/** Simulation of several daemons that use the same backend servers; some requests crash every server that runs them. */
import {err, ok, type Result} from 'neverthrow';
import {createVirtualTime, type VirtualTime} from '../../../../test/fakes/virtual-loop.js';
import type {Disposable} from '../../../base/common/disposable.js';
import {createEmitter, type Event} from '../../../base/common/event.js';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../../base/common/failure.js';
import type {Random} from '../../../base/common/random.js';
import {silentMetrics} from '../../../kernel/common/metrics.js';
import {createMemoryStore} from '../../../adapters/common/memory-store.js';
import {createDispatcher} from '../../../routing/common/dispatcher.js';
import {createLoadEstimate} from '../../../routing/common/load-estimate.js';
import {createPrefixIndex} from '../../../routing/common/prefix-index.js';
import {createReservations, type Reservations} from '../../../routing/common/reservations.js';
import type {Router} from '../../../routing/common/router.js';
import {defaultCostWeights} from '../../../routing/common/server-cost.js';
import {createServerTable} from '../../../routing/common/server-table.js';
import {createSuspectTable, type SuspectTable} from '../../common/suspect-table.js';
import type {SuspectGuard} from '../../common/suspect-guard.js';
import {createAttemptRunner, type AttemptRunner} from '../../node/attempt-runner.js';
import {createConnectSuspectTransport} from '../../node/connect-suspect-transport.js';
import {createSuspectGuard} from '../../node/suspect-guard.js';
import {createSuspectOwner, type SuspectOwner} from '../../node/suspect-owner.js';
import {createSuspectNetwork} from './suspect-network.js';
import {createSuspectServers, POISON, type SeenCrash} from './suspect-servers.js';

/** Defects to introduce, to show that the checks detect them. */
export type BrokenMechanisms = {
	/** Replaces the guard by a defective one. */
	readonly guard?: (guard: SuspectGuard) => SuspectGuard;
	/** Whether daemons exchange no crashes, neither directly nor through the store. */
	readonly isolated?: boolean;
	/** Whether servers don't report their uptime. */
	readonly hidesUptime?: boolean;
};

/** A result that a caller received. */
export type ReportedResult = {readonly fingerprint: string; readonly result: Result<string, Failure>};

type DaemonLifetime = Disposable & {readonly stopped: Promise<void>; readonly onDidStop: Event<void>; readonly isStopped: () => boolean};
type Daemon = {readonly lifetime: DaemonLifetime; readonly id: string; readonly runner: AttemptRunner; readonly table: SuspectTable; readonly owner: SuspectOwner};

export type SuspectWorld = {
	readonly time: VirtualTime;
	readonly crashes: readonly SeenCrash[];
	readonly results: ReportedResult[];
	readonly daemonIds: readonly string[];
	readonly send: (daemonId: string, fingerprint: string) => Promise<Result<string, Failure>>;
	readonly restart: (daemonId: string) => Promise<void>;
	readonly setLoss: (share: number) => void;
};

/** Time that a daemon takes to start. */
const START_MS = 500;

export function createSuspectWorld(random: Random, breakage: BrokenMechanisms = {}): SuspectWorld {
	const time = createVirtualTime(random);
	const {clock, loop} = time;
	const memory = createMemoryStore();
	const daemonIds = ['entry-1', 'entry-2', 'entry-3'];
	const servers = createSuspectServers(clock, loop, random, breakage.hidesUptime === true);
	const network = createSuspectNetwork(daemonIds, loop, random, breakage.isolated === true);
	const results: ReportedResult[] = [];
	const daemons = new Map<string, Daemon>();
	let starts = 0;

	function createRouter(reservations: Reservations): Router {
		const table = createServerTable(() => 'region');
		const loads = createLoadEstimate(() => 4);
		table.update(servers.ids.map(id => ({
			id, address: id, port: 1, availabilityZone: 'a', state: 'live', pool: 'pool',
		})), 0);
		const dispatcher = createDispatcher({
			table, loads, prefixes: createPrefixIndex(100), weights: defaultCostWeights, ownRegion: 'region', random, isReservedElsewhere: reservations.isReservedElsewhere,
		});
		const unused = (): never => {
			throw new Error('not used');
		};

		return {
			dispatch(request, now) {
				const dispatched = dispatcher.dispatch(request, now);
				if (request.alone) {
					reservations.announce(dispatcher.listReserved());
				}

				return dispatched;
			},
			servers: table.list,
			engine: unused,
			service: unused,
			onDidChangeServers: createEmitter<never>().event,
			inFlight: loads.inFlight,
			load: loads.read,
		};
	}

	function createLifetime(): DaemonLifetime {
		const stops = createEmitter<void>();
		let hasStopped = false;
		const stopped = new Promise<void>(resolve => {
			stops.event(resolve);
		});
		return {
			stopped,
			onDidStop: stops.event,
			isStopped: () => hasStopped,
			dispose() {
				hasStopped = true;
				stops.fire();
			},
		};
	}

	async function start(id: string): Promise<void> {
		daemons.get(id)?.lifetime.dispose();
		starts += 1;
		const run = starts;
		let sequence = 0;
		const nextWriteId = () => {
			sequence += 1;
			return {writer: `${id}:${run}`, sequence: String(sequence)};
		};

		const table = createSuspectTable();
		const owner = createSuspectOwner({
			shardCount: 1, store: memory.open(), table, clock, nextWriteId,
		});
		const membership = network.createMembership(id);
		const reservations = createReservations(membership, () => clock.monotonic());
		const transport = createConnectSuspectTransport({
			peers: network.createPeers(id), membership, shards: network.shardsOf(id), owner, table, clock, loop, reservations,
		});
		const guard = createSuspectGuard({
			clock,
			loop,
			table,
			transport,
			probe: async server => servers.load(server.id),
			nextCrashId() {
				const {writer, sequence: number} = nextWriteId();
				return `${writer}:${number}`;
			},
		});
		const runner = createAttemptRunner({
			router: createRouter(reservations), suspects: breakage.guard?.(guard) ?? guard, maximumAttempts: 4, retryShare: 1, clock, loop, metrics: silentMetrics,
		});
		daemons.set(id, {
			lifetime: createLifetime(), id, runner, table, owner,
		});
		if (breakage.isolated !== true) {
			network.catchUp(id);
			await owner.readAll();
		}
	}

	daemonIds.forEach(id => {
		void start(id);
	});
	return {
		time,
		crashes: servers.crashes,
		results,
		daemonIds,
		async send(daemonId, fingerprint) {
			const {runner, lifetime} = daemons.get(daemonId)!;
			if (lifetime.isStopped()) {
				const refused: Result<string, Failure> = err(createNotRun('unavailable', {step: 'call daemon', peer: daemonId}, 'connection refused'));
				results.push({fingerprint, result: refused});
				return refused;
			}

			const answered = runner.run<string>({
				requestId: `${fingerprint}/${results.length}`,
				fingerprint,
				repeatable: () => true,
				deadline: clock.monotonic() + 10_000,
				signal: new AbortController().signal,
				route: {
					pool: 'pool', prefixKey: undefined, prefixTokens: 0, expectedTokens: 0, expectedBytes: 0, allowed: undefined,
				},
			}, async context => {
				context.attempt.sent();
				return servers.execute(context.server.id, fingerprint, lifetime);
			});
			const daemonStopped = lifetime.stopped.then((): Result<string, Failure> => err(createOutcomeUnknown('unavailable', {step: 'call daemon', peer: daemonId}, 'the daemon stopped')));
			const result = await Promise.race([answered, daemonStopped]);
			results.push({fingerprint, result});
			return result;
		},
		async restart(daemonId) {
			daemons.get(daemonId)?.lifetime.dispose();
			await loop.sleep(START_MS);
			await start(daemonId);
		},
		setLoss: network.setLoss,
	};
}

/** Checks the record: no request crashes more than two servers, and no harmless request stays refused as suspect. */
export function checkSuspects(world: Pick<SuspectWorld, 'crashes' | 'results'>): readonly string[] {
	const crashingFingerprints = [...new Set(world.crashes.map(crash => crash.fingerprint))];
	const excess = crashingFingerprints
		.filter(fingerprint => world.crashes.filter(crash => crash.fingerprint === fingerprint).length > 2)
		.map(fingerprint => `${fingerprint} crashed more than two servers`);
	const lastResultByFingerprint = new Map(world.results.map(entry => [entry.fingerprint, entry.result]));
	const falselyRefused = [...lastResultByFingerprint]
		.filter(([fingerprint, result]) => !fingerprint.startsWith(POISON) && result.isErr() && result.error.code === 'suspect')
		.map(([fingerprint]) => `${fingerprint} stayed refused, but crashed no server`);
	return [...excess, ...falselyRefused];
}
