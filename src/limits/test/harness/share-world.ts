/** Several daemons that share one grant under virtual time, with a record of their admissions. */
import {err, type Result} from 'neverthrow';
import {
	createDelayedStore, createGate, type Gate, type StoreFaults,
} from '../../../../test/fakes/faulty-store.js';
import {createVirtualTime, type VirtualTime} from '../../../../test/fakes/virtual-loop.js';
import {createOutcomeUnknown, type Failure} from '../../../base/common/failure.js';
import type {Disposable} from '../../../base/common/disposable.js';
import type {Random} from '../../../base/common/random.js';
import type {Shards} from '../../../leases/common/shards.js';
import type {Grant} from '../../../plans/common/lists.js';
import {createMemoryStore} from '../../../adapters/common/memory-store.js';
import type {Store} from '../../../adapters/common/store.js';
import {createAdmissionController as createAdmission, type AdmissionController as Admission} from '../../common/admission-controller.js';
import type {RenewalResponse} from '../../common/share-holder.js';
import type {ShareTransport} from '../../common/share-transport.js';
import {createStoppedDaemons, type PortState} from '../../common/stopped-daemons.js';
import {createShareClient, type ShareClient} from '../../node/share-client.js';
import {createShareOwner, type ShareOwner} from '../../node/share-owner.js';
import type {Admitted, Usage} from './check-grant-usage.js';

/** Mechanisms that a test replaces by broken ones, to show that the check detects the fault. */
export type BrokenMechanisms = {
	readonly store?: (store: Store) => Store;
	readonly transport?: (transport: ShareTransport) => ShareTransport;
	readonly fractionOf?: (client: ShareClient) => ShareClient['fractionOf'];
	/** Time after which a share expires that is not renewed. */
	readonly ttlMs?: number;
	/** Replaces the result of a connection attempt to a silent daemon's port. */
	readonly probe?: (state: PortState) => PortState;
};

type Daemon = {readonly gate: Gate; readonly owner: ShareOwner; readonly admission: Admission; readonly tasks: readonly Disposable[]};

export type ShareWorld = Admitted & {
	readonly time: VirtualTime;
	readonly refused: Failure[];
	readonly store: StoreFaults;
	readonly daemonIds: readonly string[];
	/** Sends requests at a rate to one daemon until the demand is set again. */
	readonly setDemand: (daemonId: string, perSecond: number) => void;
	readonly pause: (daemonId: string, durationMs: number) => void;
	/** Kills a daemon; nothing listens at its address until it is restarted. */
	readonly stop: (daemonId: string) => void;
	readonly restart: (daemonId: string) => void;
	/** Moves the lease of the shard; the previous holder still considers itself the holder for `overlapMs`. */
	readonly moveLease: (daemonId: string | undefined, overlapMs: number) => void;
	/** Partitions a daemon from the others, or reconnects it. */
	readonly setPartitioned: (daemonId: string, isPartitioned: boolean) => void;
	readonly admittedBy: (daemonId: string) => number;
};

export const grant: Grant = {
	plan: 'plan', pool: 'pool', requestsPerSecond: 25, burstSeconds: 1,
};
/** A grant whose token rate is the tighter limit. */
export const tokenGrant: Grant = {...grant, requestsPerSecond: 1000, tokensPerSecond: 5000};
/** Maximum number of tokens that one request reserves under a grant with a token rate. */
export const MAXIMUM_TOKENS = 400;
const SHARE_TTL_MS = 3_600_000;
const CALL_TIMEOUT_MS = 1000;

export function createShareWorld(random: Random, breakage: BrokenMechanisms = {}, sharedGrant: Grant = grant): ShareWorld {
	const time = createVirtualTime(random);
	const {clock, loop} = time;
	const memory = createMemoryStore();
	const control: StoreFaults = {down: false, lostAnswerShare: 0, random};
	const daemons = new Map<string, Daemon>();
	const daemonIds = ['entry-1', 'entry-2', 'entry-3', 'entry-4'];
	const requests: Usage[] = [];
	const tokens: Usage[] = [];
	const byDaemon = new Map<string, number>();
	const refused: Failure[] = [];
	const demands = new Map<string, Disposable>();
	const previousLeases = new Map<string, {readonly until: number; readonly fencing: number}>();
	const partitioned = new Set<string>();
	const stopped = new Set<string>();
	const ttlMs = breakage.ttlMs ?? SHARE_TTL_MS;
	let holder: string | undefined = 'entry-1';
	let fencing = 1;
	let startCount = 0;

	const shardsOf = (id: string): Pick<Shards, 'count' | 'holding' | 'owner' | 'reportWrongOwner'> => ({
		count: 1,
		holding(shard, now) {
			const previous = previousLeases.get(id);
			if (holder === id) {
				return {shard, fencing, validUntil: now + 1000};
			}

			return previous !== undefined && now < previous.until ? {shard, fencing: previous.fencing, validUntil: previous.until} : undefined;
		},
		owner: shard => holder === undefined
			? undefined
			: {
				shard, daemonId: holder, address: '127.0.0.1', peerPort: 1,
			},
		reportWrongOwner: () => undefined,
	});

	function createTransport(id: string, gate: Gate): ShareTransport {
		return {
			async renew(owner, renewal) {
				const lost = (): Result<RenewalResponse, Failure> => err(createOutcomeUnknown('unavailable', {step: 'renew', peer: owner.daemonId}, 'lost'));
				const target = daemons.get(owner.daemonId);
				await gate.pass();
				const exchange = async () => {
					await loop.sleep(random() * 20);
					if (target === undefined || (owner.daemonId !== id && (partitioned.has(id) || partitioned.has(owner.daemonId)))) {
						return lost();
					}

					await target.gate.pass();
					const answer = target.owner.renew(owner.shard, renewal);
					await loop.sleep(random() * 20);
					await target.gate.pass();
					return random() < 0.02 ? lost() : answer;
				};

				const answered = await Promise.race([exchange(), loop.sleep(CALL_TIMEOUT_MS).then(lost)]);
				await gate.pass();
				return answered;
			},
		};
	}

	function probe(id: string): PortState {
		// The operating system still accepts connections for a paused process.
		const state = partitioned.has(id) ? 'unknown' : 'open';
		const seen = stopped.has(id) ? 'refused' : state;
		return breakage.probe?.(seen) ?? seen;
	}

	/** Creates the task that releases the shares of silent daemons that no longer run. */
	function createCleanup(owner: ShareOwner): (now: number) => void {
		const stoppedDaemons = createStoppedDaemons(id => id);
		return now => {
			owner.silent().forEach(id => {
				stoppedDaemons.recordProbe(id, probe(id), now);
			});
			owner.silent().filter(id => stoppedDaemons.isStopped(id, now)).forEach(owner.removeHolder);
		};
	}

	function start(id: string): void {
		startCount += 1;
		stopped.delete(id);
		const run = startCount;
		const gate = createGate(time);
		let sequence = 0;
		const delayed = createDelayedStore(memory.open(), time, gate, control);
		const owner = createShareOwner({
			shards: shardsOf(id),
			store: breakage.store?.(delayed) ?? delayed,
			clock,
			ttlMs,
			nextWriteId() {
				sequence += 1;
				return {writer: `${id}:${run}`, sequence: String(sequence)};
			},
		});
		const transport = createTransport(id, gate);
		const client = createShareClient({
			daemonId: id, run, shards: shardsOf(id), transport: breakage.transport?.(transport) ?? transport, clock, ttlMs,
		});
		const admission = createAdmission({
			grantOf: () => sharedGrant,
			weightOf: () => 1,
			fractionOf: breakage.fractionOf?.(client) ?? client.fractionOf,
			concurrencyOf: () => 1000,
			random,
		});
		const every = (name: string, periodMs: number, run: (now: number) => Promise<void> | void) => loop.every({
			name,
			periodMs,
			jitterShare: 0.1,
			async run(now) {
				await gate.pass();
				await run(now);
			},
		});
		daemons.get(id)?.tasks.forEach(task => {
			task.dispose();
		});
		daemons.set(id, {
			gate,
			owner,
			admission,
			tasks: [
				every('tick', 50, () => {
					admission.tick(clock.monotonic());
				}),
				every('divide', 200, owner.tick),
				every('renew', 1000, async () => client.renew(admission.demands(clock.monotonic()))),
				every('clean up', 1000, createCleanup(owner)),
				every('unmet', 200, async () => client.renewUnmet(admission.demands(clock.monotonic()))),
			],
		});
	}

	function stop(id: string): void {
		daemons.get(id)?.gate.kill();
		previousLeases.delete(id);
		stopped.add(id);
	}

	async function sendOne(id: string): Promise<void> {
		const daemon = daemons.get(id);
		await daemon?.gate.pass();
		const now = clock.monotonic();
		const reserved = sharedGrant.tokensPerSecond === undefined ? 0 : 1 + Math.floor(random() * MAXIMUM_TOKENS);
		const result = await daemon?.admission.admit({
			plan: 'plan', pool: 'pool', tokens: reserved, deadline: now + 5000,
		}, now, new AbortController().signal);
		result?.match(ticket => {
			const generated = Math.floor(random() * (reserved + 1));
			requests.push({at: clock.monotonic(), units: 1});
			tokens.push({at: clock.monotonic(), units: reserved});
			byDaemon.set(id, (byDaemon.get(id) ?? 0) + 1);
			loop.after(50, at => {
				tokens.push({at, units: generated - reserved});
				ticket.release(at, generated);
			});
		}, failure => {
			refused.push(failure);
		});
	}

	daemonIds.forEach(start);
	return {
		time,
		grant: sharedGrant,
		requests,
		tokens,
		refused,
		store: control,
		daemonIds,
		setDemand(daemonId, perSecond) {
			demands.get(daemonId)?.dispose();
			if (perSecond > 0) {
				demands.set(daemonId, loop.every({
					name: 'demand',
					periodMs: 1000 / perSecond,
					run() {
						void sendOne(daemonId);
					},
				}));
			}
		},
		pause(daemonId, durationMs) {
			daemons.get(daemonId)?.gate.pause(durationMs);
		},
		stop,
		restart(daemonId) {
			stop(daemonId);
			start(daemonId);
		},
		moveLease(daemonId, overlapMs) {
			if (holder !== undefined) {
				previousLeases.set(holder, {until: clock.monotonic() + overlapMs, fencing});
			}

			fencing += 1;
			holder = daemonId;
		},
		setPartitioned(daemonId, isPartitioned) {
			if (isPartitioned) {
				partitioned.add(daemonId);
				return;
			}

			partitioned.delete(daemonId);
		},
		admittedBy: daemonId => byDaemon.get(daemonId) ?? 0,
	};
}
