/** Several daemons that share one grant under virtual time, with a record of what was admitted. */
import {err, type Result} from 'neverthrow';
import {
	createDelayedStore, createGate, type Gate, type StoreControl,
} from '../../../../test/fakes/faulty-store.js';
import {createVirtualTime, type VirtualTime} from '../../../../test/fakes/virtual-loop.js';
import {createOutcomeUnknown, type Failure} from '../../../base/common/failure.js';
import type {Disposable} from '../../../base/common/disposable.js';
import type {Random} from '../../../base/common/random.js';
import type {Shards} from '../../../leases/common/shards.js';
import type {Grant} from '../../../plans/common/lists.js';
import {createMemoryStore} from '../../../adapters/common/memory-store.js';
import type {Store} from '../../../adapters/common/store.js';
import {createGate as createAdmission, type Gate as Admission} from '../../common/gate.js';
import type {ShareAnswer} from '../../common/share-holder.js';
import type {ShareLink} from '../../common/share-link.js';
import {createVanishedDaemons, type PortState} from '../../common/vanished-daemons.js';
import {createShareClient, type ShareClient} from '../../node/share-client.js';
import {createShareOwner, type ShareOwner} from '../../node/share-owner.js';
import type {Admitted, Use} from './share-check.js';

/** Mechanisms that a scenario replaces by broken ones. */
export type Breakage = {
	readonly store?: (store: Store) => Store;
	readonly link?: (link: ShareLink) => ShareLink;
	readonly fractionOf?: (client: ShareClient) => ShareClient['fractionOf'];
	/** Time after which a share ends that is not renewed. */
	readonly endMs?: number;
	/** What a connection to a silent daemon's port seems to show. */
	readonly probe?: (state: PortState) => PortState;
};

type Daemon = {readonly gate: Gate; readonly owner: ShareOwner; readonly admission: Admission; readonly tasks: readonly Disposable[]};

export type ShareWorld = Admitted & {
	readonly time: VirtualTime;
	readonly refused: Failure[];
	readonly store: StoreControl;
	readonly daemonIds: readonly string[];
	/** Sends requests at a rate to one daemon until the demand is set anew. */
	readonly setDemand: (daemonId: string, perSecond: number) => void;
	readonly pause: (daemonId: string, durationMs: number) => void;
	/** Kills a daemon; nothing runs at its address until it is restarted. */
	readonly stop: (daemonId: string) => void;
	readonly restart: (daemonId: string) => void;
	readonly moveLease: (daemonId: string | undefined, overlapMs: number) => void;
	/** Cuts a daemon off from the others, or joins it again. */
	readonly setCut: (daemonId: string, cut: boolean) => void;
	readonly admittedBy: (daemonId: string) => number;
};

export const grant: Grant = {
	plan: 'plan', pool: 'pool', requestsPerSecond: 25, burstSeconds: 1,
};
/** A grant whose tokens are used up before its requests. */
export const tokenGrant: Grant = {...grant, requestsPerSecond: 1000, tokensPerSecond: 5000};
/** Most tokens that one request reserves under a grant of tokens. */
export const LARGEST_TOKENS = 400;
const END_MS = 3_600_000;
const LINK_TIMEOUT_MS = 1000;

export function createShareWorld(random: Random, breakage: Breakage = {}, shared: Grant = grant): ShareWorld {
	const time = createVirtualTime(random);
	const {clock, loop} = time;
	const memory = createMemoryStore();
	const control: StoreControl = {down: false, lostShare: 0, random};
	const daemons = new Map<string, Daemon>();
	const daemonIds = ['entry-1', 'entry-2', 'entry-3', 'entry-4'];
	const requests: Use[] = [];
	const tokens: Use[] = [];
	const byDaemon = new Map<string, number>();
	const refused: Failure[] = [];
	const demands = new Map<string, Disposable>();
	const beliefs = new Map<string, {readonly until: number; readonly fencing: number}>();
	const cut = new Set<string>();
	const stopped = new Set<string>();
	const endMs = breakage.endMs ?? END_MS;
	let holder: string | undefined = 'entry-1';
	let fencing = 1;
	let starts = 0;

	const shardsOf = (id: string): Pick<Shards, 'count' | 'holding' | 'owner' | 'reportWrongOwner'> => ({
		count: 1,
		holding(shard, now) {
			const belief = beliefs.get(id);
			if (holder === id) {
				return {shard, fencing, validUntil: now + 1000};
			}

			return belief !== undefined && now < belief.until ? {shard, fencing: belief.fencing, validUntil: belief.until} : undefined;
		},
		owner: shard => holder === undefined
			? undefined
			: {
				shard, daemonId: holder, address: '127.0.0.1', peerPort: 1,
			},
		reportWrongOwner: () => undefined,
	});

	function createLink(id: string, gate: Gate): ShareLink {
		return {
			async renew(owner, renewal) {
				const lost = (): Result<ShareAnswer, Failure> => err(createOutcomeUnknown('unavailable', {step: 'renew', peer: owner.daemonId}, 'lost'));
				const target = daemons.get(owner.daemonId);
				await gate.pass();
				const exchange = async () => {
					await loop.sleep(random() * 20);
					if (target === undefined || (owner.daemonId !== id && (cut.has(id) || cut.has(owner.daemonId)))) {
						return lost();
					}

					await target.gate.pass();
					const answer = target.owner.renew(owner.shard, renewal);
					await loop.sleep(random() * 20);
					await target.gate.pass();
					return random() < 0.02 ? lost() : answer;
				};

				const answered = await Promise.race([exchange(), loop.sleep(LINK_TIMEOUT_MS).then(lost)]);
				await gate.pass();
				return answered;
			},
		};
	}

	function probe(id: string): PortState {
		// The system of a paused process still accepts connections.
		const state = cut.has(id) ? 'unknown' : 'open';
		const seen = stopped.has(id) ? 'refused' : state;
		return breakage.probe?.(seen) ?? seen;
	}

	/** Frees the shares of silent daemons that do not run any more. */
	function createCleanup(owner: ShareOwner): (now: number) => void {
		const vanished = createVanishedDaemons(id => id);
		return now => {
			owner.silent().forEach(id => {
				vanished.probed(id, probe(id), now);
			});
			owner.silent().filter(id => vanished.isGone(id, now)).forEach(owner.forget);
		};
	}

	function start(id: string): void {
		starts += 1;
		stopped.delete(id);
		const run = starts;
		const gate = createGate(time);
		let sequence = 0;
		const delayed = createDelayedStore(memory.open(), time, gate, control);
		const owner = createShareOwner({
			shards: shardsOf(id),
			store: breakage.store?.(delayed) ?? delayed,
			clock,
			endMs,
			nextWriteId() {
				sequence += 1;
				return {writer: `${id}:${run}`, sequence: String(sequence)};
			},
		});
		const link = createLink(id, gate);
		const client = createShareClient({
			daemonId: id, run, shards: shardsOf(id), link: breakage.link?.(link) ?? link, clock, endMs,
		});
		const admission = createAdmission({
			grantOf: () => shared,
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
		beliefs.delete(id);
		stopped.add(id);
	}

	async function sendOne(id: string): Promise<void> {
		const daemon = daemons.get(id);
		await daemon?.gate.pass();
		const now = clock.monotonic();
		const reserved = shared.tokensPerSecond === undefined ? 0 : 1 + Math.floor(random() * LARGEST_TOKENS);
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
		grant: shared,
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
				beliefs.set(holder, {until: clock.monotonic() + overlapMs, fencing});
			}

			fencing += 1;
			holder = daemonId;
		},
		setCut(daemonId, isCut) {
			if (isCut) {
				cut.add(daemonId);
				return;
			}

			cut.delete(daemonId);
		},
		admittedBy: daemonId => byDaemon.get(daemonId) ?? 0,
	};
}
