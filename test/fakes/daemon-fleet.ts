/** Daemons of one fleet over virtual time, with an in-memory message fabric and a memory store. */
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

/** What differs from one daemon or test to the next. */
export type DaemonProfile = {
	readonly id: string;
	/** Begins with the name of its region and a hyphen. */
	readonly zone: string;
	/** Seconds of the daemon's own clock per second of true time. */
	readonly rate?: number;
	readonly snapshots?: Snapshots;
	readonly wrapStore?: (store: Store) => Store;
	readonly wrapAudit?: (audit: Audit) => Audit;
	readonly wrapTransport?: (link: GossipTransport) => GossipTransport;
	/** Replaces the membership that the configuration sees. */
	readonly wrapMembership?: (membership: Membership) => Membership;
	/** Replaces dependencies, to switch a mechanism off. */
	readonly membership?: Partial<MembershipOptions>;
	readonly shards?: Partial<ShardsOptions>;
	readonly configuration?: Partial<ConfigurationOptions>;
};

/** Faults that a test sets while the fleet runs. */
export type Faults = {
	isCut: (from: string, to: string) => boolean;
	store: (daemonId: string, call: StoreCall) => StoreFault;
	/** Whether reads are answered with the first version that the daemon has ever read. */
	isStale: (daemonId: string) => boolean;
	/** Whether the watches of a daemon report a change. */
	isWatching: (daemonId: string) => boolean;
};

type DaemonProcess = ReturnType<typeof createProcess>;

/** One-way latencies in milliseconds. */
const ZONE_MS = 0.5;
const REGION_MS = 12;
const STORE_MS = 3;

/** A loop of one process: its delays follow its own clock, and everything waits while it is frozen. */
function createProcess(time: VirtualTime, rate: number) {
	const started = time.clock.monotonic();
	const waiting: Array<() => void> = [];
	let state: 'running' | 'frozen' | 'killed' = 'running';
	const clock: Clock = {monotonic: () => (time.clock.monotonic() - started) * rate, wall: time.clock.wall};

	function run(action: () => void): void {
		if (state === 'running') {
			action();
		} else if (state === 'frozen') {
			waiting.push(action);
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
			waiting.splice(0).forEach(action => {
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
		await daemon.loop.sleep(STORE_MS);
		const answer = await action();
		await daemon.loop.sleep(STORE_MS);
		return answer;
	}, (kind, listener) => inner.watch(kind, object => {
		if (faults.isWatching(daemonId)) {
			daemon.loop.after(STORE_MS, () => {
				listener(object);
			});
		}
	}));
	const read = view.read.bind(view);
	const readOld: Store['read'] = async id => {
		const key = `${id.kind}/${id.name}`;
		const found = await read(id);
		if (found.isOk() && found.value && !firstRead.has(key)) {
			firstRead.set(key, found);
		}

		return found.isOk() && faults.isStale(daemonId) ? firstRead.get(key) ?? found : found;
	};

	return Object.assign(view, {read: readOld});
}

/** A running daemon of the fleet. */
export type FleetDaemon = ReturnType<typeof startDaemon>;

type Fabric = {
	readonly time: VirtualTime;
	readonly memory: MemoryStore;
	readonly faults: Faults;
	readonly daemons: Map<string, FleetDaemon>;
	readonly random: () => number;
	readonly onMessage?: (from: string, to: string, message: GossipMessage) => void;
	readonly onPage?: (from: string, to: string, page: BucketPage) => void;
};

function startDaemon(fabric: Fabric, profile: DaemonProfile, seeds: readonly PeerAddress[]) {
	const {time, faults, daemons, random} = fabric;
	const daemon = createProcess(time, profile.rate ?? 1);
	const {clock, loop} = daemon;
	const self: Member = {
		id: profile.id, incarnation: clock.wall(), state: 'alive', address: profile.id, peerPort: 1, availabilityZone: profile.zone, protocol: 1,
	};
	const regionOf = (zone: string) => zone.split('-', 1)[0];

	/** Calls another daemon; the answer is lost where the way back is cut. */
	async function call<T>(peer: PeerAddress, timeoutMs: number, handle: (target: FleetDaemon) => Promise<T> | T): Promise<Result<T, Failure>> {
		const origin = {step: 'call', peer: peer.address};
		return new Promise(resolve => {
			loop.after(timeoutMs, () => {
				resolve(err(createOutcomeUnknown('deadlineExceeded', origin, 'no answer')));
			});
			const target = daemons.get(peer.address);
			if (target === undefined || faults.isCut(profile.id, peer.address)) {
				return;
			}

			const latencyMs = regionOf(profile.zone) === regionOf(target.zone) ? ZONE_MS : REGION_MS;
			target.process.loop.after(latencyMs, () => {
				void Promise.resolve(handle(target)).then(value => {
					if (!faults.isCut(peer.address, profile.id)) {
						loop.after(latencyMs, () => {
							resolve(ok(value));
						});
					}
				});
			});
		});
	}

	const view = createStoreView(fabric.memory, daemon, faults, profile.id);
	const store = profile.wrapStore?.(view) ?? view;
	const link = new (class extends GossipTransport {
		override exchange: GossipTransport['exchange'] = async (peer, message) => {
			fabric.onMessage?.(profile.id, peer.address, message);
			const answer = await call(peer, 1000, target => {
				const received = target.membership.receiver.exchange(message);
				received.andTee(reply => {
					fabric.onMessage?.(peer.address, profile.id, reply);
				});
				return received;
			});
			return answer.andThen(inner => inner);
		};

		override probe: GossipTransport['probe'] = async (helper, peer) => call(helper, 2000, async target => target.membership.receiver.probe(peer));
		override pull: GossipTransport['pull'] = async (peer, bucket, page) => call(peer, 1000, target => {
			const pulled = target.membership.receiver.pull(bucket, page);
			fabric.onPage?.(peer.address, profile.id, pulled);
			return pulled;
		});
	})();
	const membership = createMembershipService({
		self, periodMs: 500, fanout: 2, suspectAfterMs: 2000, deadAfterMs: 6000,
		isSameRegion: member => regionOf(member.availabilityZone) === regionOf(profile.zone),
		candidates: () => seeds.filter(seed => seed.address !== profile.id),
		transport: profile.wrapTransport?.(link) ?? link,
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
		id: profile.id, zone: profile.zone, process: daemon, membership, shards, audit, configuration, store,
		/** Recovers as the contributions do, then opens. */
		ready: (async () => {
			await membership.fetchFleet();
			await configuration.recover();
			membership.startRounds();
		})(),
	};
	return started;
}

/** Creates an empty fleet. */
export function createDaemonFleet(seed: number, onMessage?: Fabric['onMessage'], onPage?: Fabric['onPage']) {
	const random = createSeededRandom(seed);
	const time = createVirtualTime(random);
	const memory = createMemoryStore();
	const daemons = new Map<string, FleetDaemon>();
	const faults: Faults = {
		isCut: () => false, store: () => 'none', isStale: () => false, isWatching: () => true,
	};
	const fabric: Fabric = {
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
				throw new Error(`no daemon ${id}`);
			}

			return found;
		},
		/** Starts a daemon, or starts it again with a later incarnation. */
		start(profile: DaemonProfile, seeds: readonly string[]) {
			daemons.get(profile.id)?.process.kill();
			daemons.set(profile.id, startDaemon(fabric, profile, seeds.map(address => ({address, peerPort: 1}))));
		},
		kill(id: string) {
			daemons.get(id)?.process.kill();
		},
	};
}
