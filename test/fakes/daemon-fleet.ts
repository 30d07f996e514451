/** Simulates the daemons of one fleet in virtual time, with an in-memory network and an in-memory store. */
import {
	err, ok, type Result,
} from 'neverthrow';
import type {Audit} from '../../src/audit/common/audit.js';
import {createAuditService} from '../../src/audit/common/audit-service.js';
import type {Clock} from '../../src/base/common/clock.js';
import {createOutcomeUnknown, type Failure} from '../../src/base/common/failure.js';
import {silentLog} from '../../src/kernel/common/log.js';
import type {Loop} from '../../src/kernel/common/loop.js';
import {LeaseTransport} from '../../src/leases/common/lease-transport.js';
import {createShardsService, type ShardsOptions} from '../../src/leases/common/shards-service.js';
import type {BucketPage, GossipMessage} from '../../src/membership/common/gossip.js';
import {GossipTransport} from '../../src/membership/common/gossip-transport.js';
import type {Member, Membership} from '../../src/membership/common/membership.js';
import {createMembershipService, type MembershipOptions} from '../../src/membership/common/membership-service.js';
import type {PeerAddress} from '../../src/peers/common/peers.js';
import {noSnapshots, type Snapshots} from '../../src/persistence/common/snapshots.js';
import {
	createMemoryStore, type MemoryStore, type StoreCall, type StoreFault,
} from '../../src/adapters/common/memory-store.js';
import type {Store} from '../../src/adapters/common/store.js';
import {wrapStore} from '../../src/adapters/common/wrapped-store.js';
import {ConfigurationTransport} from '../../src/plans/common/configuration-transport.js';
import {createConfigurationService, type ConfigurationOptions} from '../../src/plans/common/configuration-service.js';
import {createSeededRandom, createVirtualTime, type VirtualTime} from './virtual-loop.js';

/** Configuration of one daemon of the fleet. */
export type DaemonProfile = {
	readonly id: string;
	/** The availability zone; the text before its first hyphen is the region. */
	readonly availabilityZone: string;
	/** Seconds of the daemon's own clock per second of virtual time. */
	readonly clockRate?: number;
	readonly snapshots?: Snapshots;
	readonly wrapStore?: (store: Store) => Store;
	readonly wrapAudit?: (audit: Audit) => Audit;
	readonly wrapTransport?: (transport: GossipTransport) => GossipTransport;
	/** Replaces the membership that the configuration service uses. */
	readonly wrapMembership?: (membership: Membership) => Membership;
	/** Overrides options of the services, for example to switch a mechanism off. */
	readonly membership?: Partial<MembershipOptions>;
	readonly shards?: Partial<ShardsOptions>;
	readonly configuration?: Partial<ConfigurationOptions>;
};

/** Faults that a test sets while the fleet runs. */
export type Faults = {
	isLinkCut: (from: string, to: string) => boolean;
	store: (daemonId: string, call: StoreCall) => StoreFault;
	/** Whether reads of a daemon return the first version that it has ever read. */
	isStale: (daemonId: string) => boolean;
	/** Whether the watches of a daemon report changes. */
	isWatching: (daemonId: string) => boolean;
};

type DaemonProcess = ReturnType<typeof createProcess>;

/** One-way latencies in milliseconds. */
const SAME_REGION_LATENCY_MS = 0.5;
const OTHER_REGION_LATENCY_MS = 12;
const STORE_LATENCY_MS = 3;

/** Creates the clock and the loop of one process. Delays follow its own clock, and while it is frozen all actions are deferred. */
function createProcess(time: VirtualTime, rate: number) {
	const started = time.clock.monotonic();
	const deferredActions: Array<() => void> = [];
	let state: 'running' | 'frozen' | 'killed' = 'running';
	const clock: Clock = {monotonic: () => (time.clock.monotonic() - started) * rate, wall: time.clock.wall};

	function run(action: () => void): void {
		if (state === 'running') {
			action();
		} else if (state === 'frozen') {
			deferredActions.push(action);
		}
	}

	const after: Loop['after'] = (delayMs, action) => time.loop.after(delayMs / rate, () => {
		run(() => {
			action(clock.monotonic());
		});
	});
	const loop: Loop = {
		after,
		async sleep(delayMs) {
			return new Promise(resolve => {
				after(delayMs, () => {
					resolve();
				});
			});
		},
		every: task => time.loop.every({
			...task, periodMs: task.periodMs / rate, run: async () => new Promise<void>(resolve => {
				run(() => {
					void Promise.resolve(task.run(clock.monotonic())).then(resolve);
				});
			}),
		}),
	};
	return {
		clock,
		loop,
		state: () => state,
		freeze() {
			state = state === 'killed' ? state : 'frozen';
		},
		thaw() {
			state = state === 'killed' ? state : 'running';
			deferredActions.splice(0).forEach(action => {
				action();
			});
		},
		kill() {
			state = 'killed';
		},
	};
}

function createStoreView(memory: MemoryStore, daemon: DaemonProcess, faults: Faults, daemonId: string): Store {
	const inner = memory.open(call => faults.store(daemonId, call));
	const firstRead = new Map<string, Awaited<ReturnType<Store['read']>>>();
	const view = wrapStore(inner, async (_call, _id, action) => {
		await daemon.loop.sleep(STORE_LATENCY_MS);
		const response = await action();
		await daemon.loop.sleep(STORE_LATENCY_MS);
		return response;
	}, (kind, listener) => inner.watch(kind, object => {
		if (faults.isWatching(daemonId)) {
			daemon.loop.after(STORE_LATENCY_MS, () => {
				listener(object);
			});
		}
	}));
	const read = view.read.bind(view);
	const readPossiblyStale: Store['read'] = async id => {
		const key = `${id.kind}/${id.name}`;
		const found = await read(id);
		if (found.isOk() && found.value && !firstRead.has(key)) {
			firstRead.set(key, found);
		}

		return found.isOk() && faults.isStale(daemonId) ? firstRead.get(key) ?? found : found;
	};

	return Object.assign(view, {read: readPossiblyStale});
}

/** A running daemon of the fleet. */
export type FleetDaemon = ReturnType<typeof startDaemon>;

type FleetNetwork = {
	readonly time: VirtualTime;
	readonly memory: MemoryStore;
	readonly faults: Faults;
	readonly daemons: Map<string, FleetDaemon>;
	readonly random: () => number;
	readonly onMessage?: (from: string, to: string, message: GossipMessage) => void;
	readonly onPage?: (from: string, to: string, page: BucketPage) => void;
};

function startDaemon(network: FleetNetwork, profile: DaemonProfile, seeds: readonly PeerAddress[]) {
	const {time, faults, daemons, random} = network;
	const daemon = createProcess(time, profile.clockRate ?? 1);
	const {clock, loop} = daemon;
	const self: Member = {
		id: profile.id, incarnation: clock.wall(), state: 'alive', address: profile.id, peerPort: 1, availabilityZone: profile.availabilityZone, protocol: 1,
	};
	const regionOf = (zone: string) => zone.split('-', 1)[0];

	/** Calls another daemon. The response is lost when the link back is cut. */
	async function call<T>(peer: PeerAddress, timeoutMs: number, handle: (target: FleetDaemon) => Promise<T> | T): Promise<Result<T, Failure>> {
		const origin = {step: 'call', peer: peer.address};
		return new Promise(resolve => {
			loop.after(timeoutMs, () => {
				resolve(err(createOutcomeUnknown('deadlineExceeded', origin, 'no answer')));
			});
			const target = daemons.get(peer.address);
			if (target === undefined || faults.isLinkCut(profile.id, peer.address)) {
				return;
			}

			const latencyMs = regionOf(profile.availabilityZone) === regionOf(target.zone) ? SAME_REGION_LATENCY_MS : OTHER_REGION_LATENCY_MS;
			target.process.loop.after(latencyMs, () => {
				void Promise.resolve(handle(target)).then(value => {
					if (!faults.isLinkCut(peer.address, profile.id)) {
						loop.after(latencyMs, () => {
							resolve(ok(value));
						});
					}
				});
			});
		});
	}

	const view = createStoreView(network.memory, daemon, faults, profile.id);
	const store = profile.wrapStore?.(view) ?? view;
	const transport = new (class extends GossipTransport {
		override exchange: GossipTransport['exchange'] = async (peer, message) => {
			network.onMessage?.(profile.id, peer.address, message);
			const response = await call(peer, 1000, target => {
				const received = target.membership.receiver.exchange(message);
				received.andTee(reply => {
					network.onMessage?.(peer.address, profile.id, reply);
				});
				return received;
			});
			return response.andThen(inner => inner);
		};

		override probe: GossipTransport['probe'] = async (helper, peer) => call(helper, 2000, async target => target.membership.receiver.probe(peer));
		override pull: GossipTransport['pull'] = async (peer, bucket, page) => call(peer, 1000, target => {
			const pulled = target.membership.receiver.pull(bucket, page);
			network.onPage?.(peer.address, profile.id, pulled);
			return pulled;
		});
	})();
	const membership = createMembershipService({
		self, periodMs: 500, fanout: 2, suspectAfterMs: 2000, deadAfterMs: 6000,
		isSameRegion: member => regionOf(member.availabilityZone) === regionOf(profile.availabilityZone),
		candidates: () => seeds.filter(seed => seed.address !== profile.id),
		transport: profile.wrapTransport?.(transport) ?? transport,
		loop, clock, random, log: silentLog, ...profile.membership,
	});
	const shards = createShardsService({
		self: {
			daemonId: self.id, incarnation: self.incarnation, address: self.address, peerPort: 1,
		},
		count: 8, times: {
			durationMs: 6000, renewMs: 2000, marginMs: 1000, standbyDelayMs: 1000,
		}, store, membership, loop, clock, log: silentLog,
		transport: new (class extends LeaseTransport {
			override prepare: LeaseTransport['prepare'] = async (peer, shard) => call(peer, 1000, async target => target.shards.prepare(shard));
			override offer: LeaseTransport['offer'] = async (peer, shard) => call(peer, 1000, async target => target.shards.takeOffer(shard));
		})(), ...profile.shards,
	});
	const audit = createAuditService({
		daemonId: self.id, store, loop, clock, log: silentLog,
	});
	const configuration = createConfigurationService({
		membership: profile.wrapMembership?.(membership) ?? membership,
		store,
		audit: profile.wrapAudit?.(audit) ?? audit,
		snapshots: profile.snapshots ?? noSnapshots, loop, clock, random, log: silentLog,
		transport: new (class extends ConfigurationTransport {
			override fetch: ConfigurationTransport['fetch'] = async (peer, wanted, own) => call(peer, 2000, async target => target.configuration.serve(wanted, own));
		})(), ...profile.configuration,
	});
	const started = {
		id: profile.id, zone: profile.availabilityZone, process: daemon, membership, shards, audit, configuration, store,
		/** Recovers in the order of the daemon's contributions, then starts the gossip rounds. */
		ready: (async () => {
			await membership.fetchFleet();
			await configuration.recover();
			membership.startRounds();
		})(),
	};
	return started;
}

/** Creates an empty fleet. */
export function createDaemonFleet(seed: number, onMessage?: FleetNetwork['onMessage'], onPage?: FleetNetwork['onPage']) {
	const random = createSeededRandom(seed);
	const time = createVirtualTime(random);
	const memory = createMemoryStore();
	const daemons = new Map<string, FleetDaemon>();
	const faults: Faults = {
		isLinkCut: () => false, store: () => 'none', isStale: () => false, isWatching: () => true,
	};
	const network: FleetNetwork = {
		time, memory, faults, daemons, random, ...(onMessage && {onMessage}), ...(onPage && {onPage}),
	};
	return {
		time,
		memory,
		faults,
		random,
		all: () => [...daemons.values()],
		get(id: string): FleetDaemon {
			const found = daemons.get(id);
			if (found === undefined) {
				throw new Error(`fleet has no daemon ${id}`);
			}

			return found;
		},
		/** Starts a daemon; one that already runs is killed and restarted with a later incarnation. */
		start(profile: DaemonProfile, seeds: readonly string[]) {
			daemons.get(profile.id)?.process.kill();
			daemons.set(profile.id, startDaemon(network, profile, seeds.map(address => ({address, peerPort: 1}))));
		},
		kill(id: string) {
			daemons.get(id)?.process.kill();
		},
	};
}
