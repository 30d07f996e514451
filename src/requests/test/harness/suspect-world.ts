/** Several daemons before the same backend servers, some of whose requests crash every server that runs them. */
import {err, ok, type Result} from 'neverthrow';
import {createVirtualTime, type VirtualTime} from '../../../../test/fakes/virtual-loop.js';
import type {Disposable} from '../../../base/common/disposable.js';
import {createEmitter, type Event} from '../../../base/common/event.js';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../../base/common/failure.js';
import type {Random} from '../../../base/common/random.js';
import {silentMetrics} from '../../../kernel/common/metrics.js';
import type {Shards} from '../../../leases/common/shards.js';
import type {Member, Membership, Rumor} from '../../../membership/common/membership.js';
import type {Peers} from '../../../peers/common/peers.js';
import {createMemoryStore} from '../../../platform/common/memory-store.js';
import {createDispatcher} from '../../../routing/common/dispatcher.js';
import {createLoadEstimate} from '../../../routing/common/load-estimate.js';
import {createPrefixIndex} from '../../../routing/common/prefix-index.js';
import {createReservations, type Reservations} from '../../../routing/common/reservations.js';
import type {Router} from '../../../routing/common/router.js';
import {defaultCostWeights} from '../../../routing/common/server-cost.js';
import {createServerTable} from '../../../routing/common/server-table.js';
import {createSuspectBook, type SuspectBook} from '../../common/suspect-book.js';
import type {SuspectGuard} from '../../common/suspect-guard.js';
import {createAttemptRunner, type AttemptRunner} from '../../node/attempt-runner.js';
import {createConnectSuspectLink} from '../../node/connect-suspect-link.js';
import {createSuspectGuard} from '../../node/suspect-guard.js';
import {createSuspectOwner, type SuspectOwner} from '../../node/suspect-owner.js';

/** Replaces the guard by a broken one. */
export type Breakage = {
	readonly guard?: (guard: SuspectGuard) => SuspectGuard;
	/** Whether crashes reach other daemons at all. */
	readonly isolated?: boolean;
	/** Whether servers hide how long they have been running. */
	readonly hidesUptime?: boolean;
};

/** A crash as the backend servers saw it. */
export type SeenCrash = {readonly fingerprint: string; readonly serverId: string; readonly at: number};
/** What a caller was told. */
export type Told = {readonly fingerprint: string; readonly result: Result<string, Failure>};

type Methods = Record<string, (request: unknown) => unknown>;
type Death = Disposable & {readonly happened: Promise<void>; readonly onDidDie: Event<void>; readonly isDead: () => boolean};
type Daemon = {readonly death: Death; readonly id: string; readonly runner: AttemptRunner; readonly book: SuspectBook; readonly owner: SuspectOwner};

export type SuspectWorld = {
	readonly time: VirtualTime;
	readonly crashes: SeenCrash[];
	readonly told: Told[];
	readonly daemonIds: readonly string[];
	readonly send: (daemonId: string, fingerprint: string) => Promise<Result<string, Failure>>;
	readonly restart: (daemonId: string) => Promise<void>;
	readonly setLoss: (share: number) => void;
};

/** Requests whose fingerprint begins so crash every server. */
export const POISON = 'poison';
const RUN_MS = 400;
const CRASH_AFTER_MS = 100;
const LONGEST_REPAIR_MS = 3000;
/** Share of crashed servers that are back before anyone can ask them. */
const QUICK_REPAIRS = 0.3;
const PROBE_MS = 5;
/** Time that a daemon needs to start. */
const START_MS = 500;

export function createSuspectWorld(random: Random, breakage: Breakage = {}): SuspectWorld {
	const time = createVirtualTime(random);
	const {clock, loop} = time;
	const memory = createMemoryStore();
	const daemonIds = ['entry-1', 'entry-2', 'entry-3'];
	const serverIds = ['s1', 's2', 's3', 's4', 's5', 's6'];
	const downUntil = new Map<string, number>();
	const running = new Map<string, Set<() => void>>(serverIds.map(id => [id, new Set()]));
	const crashes: SeenCrash[] = [];
	const told: Told[] = [];
	const daemons = new Map<string, Daemon>();
	const heard = new Map(daemonIds.map(id => [id, createEmitter<Rumor>()]));
	const services = new Map<string, Methods>();
	/** What daemons that join later are told. */
	const rumors = new Map<string, Rumor>();
	let loss = 0;
	let starts = 0;

	const memberOf = (id: string): Member => ({
		id, incarnation: 1, state: 'alive', address: id, peerPort: 1, availabilityZone: 'a', protocol: 1,
	});

	function createMembership(id: string): Membership {
		const never = createEmitter<never>().event;
		return {
			self: () => memberOf(id),
			members: () => daemonIds.map(memberOf),
			find: memberOf,
			onDidChange: never,
			leave: () => undefined,
			spread(rumor) {
				rumors.set(`${rumor.topic} ${rumor.origin}`, rumor);
				daemonIds.filter(other => other !== id && breakage.isolated !== true).forEach(other => {
					loop.after(200 + (random() * 1500), () => {
						heard.get(other)?.fire(rumor);
					});
				});
			},
			rumors: () => [],
			onDidHear: heard.get(id)!.event,
		};
	}

	/** Calls between daemons in one process; every call is typed by the service that it names. */
	function createPeers(id: string): Peers {
		const call = (address: string, method: string) => async (request: unknown) => {
			await loop.sleep(random() * 10);
			if (breakage.isolated === true || random() < loss) {
				throw new Error('cut');
			}

			return services.get(address)?.[method]?.(request);
		};

		return {
			serve(_service, implementation) {
				// The fake network calls methods by name; generated clients keep the types right.
				services.set(id, implementation as unknown as Methods); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
			},
			client: (_service, peer) => new Proxy({}, {get: (_target, method) => call(peer.address, String(method))}) as never, // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
			traffic: () => ({sent: 0, received: 0}),
		};
	}

	const shardsOf = (id: string): Shards => ({
		count: 1,
		holding: (shard, now) => id === 'entry-1' ? {shard, fencing: 1, validUntil: now + 1000} : undefined,
		owner: shard => ({
			shard, daemonId: 'entry-1', address: 'entry-1', peerPort: 1,
		}),
		onDidAcquire: createEmitter<never>().event,
		onDidLose: createEmitter<never>().event,
		reportWrongOwner: () => undefined,
	});

	const isDown = (serverId: string) => clock.monotonic() < (downUntil.get(serverId) ?? 0);

	function crash(serverId: string, fingerprint: string): void {
		crashes.push({fingerprint, serverId, at: clock.monotonic()});
		downUntil.set(serverId, clock.monotonic() + (random() < QUICK_REPAIRS ? 1 : LONGEST_REPAIR_MS));
		[...running.get(serverId)!].forEach(breakOff => {
			breakOff();
		});
	}

	/** What the backend server does. */
	async function execute(serverId: string, fingerprint: string, death: Death): Promise<Result<string, Failure>> {
		const origin = {step: 'run', peer: serverId};
		if (death.isDead() || isDown(serverId)) {
			return err(createNotRun('unavailable', origin, 'connection refused'));
		}

		return new Promise(resolve => {
			const breakOff = () => {
				running.get(serverId)!.delete(breakOff);
				resolve(err(createOutcomeUnknown('incomplete', origin, 'broken off')));
			};

			running.get(serverId)!.add(breakOff);
			// A server cancels what it runs for a daemon whose connection closes.
			death.onDidDie(() => {
				running.get(serverId)!.delete(breakOff);
			});
			loop.after(fingerprint.startsWith(POISON) ? CRASH_AFTER_MS : RUN_MS, () => {
				if (!running.get(serverId)!.has(breakOff)) {
					return;
				}

				if (fingerprint.startsWith(POISON)) {
					crash(serverId, fingerprint);
					return;
				}

				running.get(serverId)!.delete(breakOff);
				resolve(ok(`answer to ${fingerprint}`));
			});
		});
	}

	function createRouter(reservations: Reservations): Router {
		const table = createServerTable(() => 'region');
		const loads = createLoadEstimate(() => 4);
		table.update(serverIds.map(id => ({
			id, address: id, port: 1, availabilityZone: 'a', state: 'live', pool: 'pool',
		})), 0);
		const dispatcher = createDispatcher({
			table, loads, prefixes: createPrefixIndex(100), weights: defaultCostWeights, ownRegion: 'region', random, reservedElsewhere: reservations.isReservedElsewhere,
		});
		const unused = (): never => {
			throw new Error('not used');
		};

		return {
			dispatch(request, now) {
				const dispatched = dispatcher.dispatch(request, now);
				if (request.alone) {
					reservations.announce(dispatcher.reserved());
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

	function createDeath(): Death {
		const deaths = createEmitter<void>();
		let dead = false;
		const happened = new Promise<void>(resolve => {
			deaths.event(resolve);
		});
		return {
			happened,
			onDidDie: deaths.event,
			isDead: () => dead,
			dispose() {
				dead = true;
				deaths.fire();
			},
		};
	}

	async function start(id: string): Promise<void> {
		daemons.get(id)?.death.dispose();
		starts += 1;
		const run = starts;
		let sequence = 0;
		const nextWriteId = () => {
			sequence += 1;
			return {writer: `${id}:${run}`, sequence: String(sequence)};
		};

		const book = createSuspectBook();
		const owner = createSuspectOwner({
			shardCount: 1, store: memory.open(), book, clock, nextWriteId,
		});
		const membership = createMembership(id);
		const reservations = createReservations(membership, () => clock.monotonic());
		const link = createConnectSuspectLink({
			peers: createPeers(id), membership, shards: shardsOf(id), owner, book, clock, loop, reservations,
		});
		const guard = createSuspectGuard({
			clock,
			loop,
			book,
			link,
			async probe(server) {
				await loop.sleep(PROBE_MS);
				return isDown(server.id)
					? err(createNotRun('unavailable', {step: 'probe', peer: server.id}, 'refused'))
					: ok({
						running: running.get(server.id)!.size, queued: 0, slots: 4, tokensPerSecond: 0, ageMs: 0,
						uptimeMs: breakage.hidesUptime === true ? undefined : clock.monotonic() - (downUntil.get(server.id) ?? 0),
					});
			},
			nextCrashId() {
				const {writer, sequence: number} = nextWriteId();
				return `${writer}:${number}`;
			},
		});
		const runner = createAttemptRunner({
			router: createRouter(reservations), suspects: breakage.guard?.(guard) ?? guard, maximumAttempts: 4, retryShare: 1, clock, loop, metrics: silentMetrics,
		});
		daemons.set(id, {
			death: createDeath(), id, runner, book, owner,
		});
		if (breakage.isolated !== true) {
			[...rumors.values()].filter(rumor => rumor.origin !== id).forEach(heard.get(id)!.fire);
			await owner.readAll();
		}
	}

	daemonIds.forEach(id => {
		void start(id);
	});
	return {
		time,
		crashes,
		told,
		daemonIds,
		async send(daemonId, fingerprint) {
			const {runner, death} = daemons.get(daemonId)!;
			if (death.isDead()) {
				const refused: Result<string, Failure> = err(createNotRun('unavailable', {step: 'call daemon', peer: daemonId}, 'connection refused'));
				told.push({fingerprint, result: refused});
				return refused;
			}

			const answered = runner.run<string>({
				requestId: `${fingerprint}/${told.length}`,
				fingerprint,
				repeatable: () => true,
				deadline: clock.monotonic() + 10_000,
				signal: new AbortController().signal,
				route: {
					pool: 'pool', prefixKey: undefined, prefixTokens: 0, expectedTokens: 0, expectedBytes: 0, allowed: undefined,
				},
			}, async context => {
				context.attempt.sent();
				return execute(context.server.id, fingerprint, death);
			});
			const cut = death.happened.then((): Result<string, Failure> => err(createOutcomeUnknown('unavailable', {step: 'call daemon', peer: daemonId}, 'the daemon died')));
			const result = await Promise.race([answered, cut]);
			told.push({fingerprint, result});
			return result;
		},
		async restart(daemonId) {
			daemons.get(daemonId)?.death.dispose();
			await loop.sleep(START_MS);
			await start(daemonId);
		},
		setLoss(share) {
			loss = share;
		},
	};
}

/** Checks the record alone: nothing crashes more than two servers, and nothing else stays refused as suspect. */
export function checkSuspects(world: Pick<SuspectWorld, 'crashes' | 'told'>): readonly string[] {
	const guilty = [...new Set(world.crashes.map(crash => crash.fingerprint))];
	const excess = guilty
		.filter(fingerprint => world.crashes.filter(crash => crash.fingerprint === fingerprint).length > 2)
		.map(fingerprint => `${fingerprint} crashed more than two servers`);
	const last = new Map(world.told.map(entry => [entry.fingerprint, entry.result]));
	const wronged = [...last]
		.filter(([fingerprint, result]) => !fingerprint.startsWith(POISON) && result.isErr() && result.error.code === 'suspect')
		.map(([fingerprint]) => `${fingerprint} stayed refused, but crashed nothing`);
	return [...excess, ...wronged];
}
