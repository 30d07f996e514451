/** Cost of dividing one grant whose demand moves from daemon to daemon, in virtual time. */
import type {Shards} from '../../src/leases/common/shards.js';
import type {ShareTransport} from '../../src/limits/common/share-transport.js';
import {createShareClient} from '../../src/limits/node/share-client.js';
import {createShareOwner} from '../../src/limits/node/share-owner.js';
import {createMemoryStore} from '../../src/adapters/common/memory-store.js';
import {createSeededRandom, createVirtualTime} from '../../test/fakes/virtual-loop.js';
import {createDefaultSettings} from './default-settings.js';
import {measureCpuUs} from './measure.js';

/** Cost of one grant; rates are per second of virtual time. */
export type ShareCost = {
	/** Renewals that one daemon sends. */
	readonly renewals: number;
	/** Store writes of the owner. */
	readonly writes: number;
	/** Processor time of the owner and all share holders together, without HTTP, in microseconds. */
	readonly cpuUs: number;
	/** Mean fraction of the grant that the daemons may use together. */
	readonly dividedShare: number;
};

const SETTLE_MS = 30_000;
const MEASURED_MS = 60_000;
const SAMPLE_MS = 1000;
const DIVIDE_PERIOD_MS = 200;
const UNMET_RENEW_PERIOD_MS = 200;
const CALL_LATENCY_MS = 2;
const BUSIEST_DEMAND_FRACTION = 0.5;
const {shareMs, renewMs} = createDefaultSettings().limits;

/** Measures a grant of which one daemon demands half; that demand moves to another daemon every `moveMs`, or never if undefined. */
export async function measureShares(daemons: number, moveMs: number | undefined): Promise<ShareCost> {
	const random = createSeededRandom(1);
	const time = createVirtualTime(random);
	const {clock, loop} = time;
	const memory = createMemoryStore();
	let renewals = 0;
	let sequence = 0;
	const shards: Pick<Shards, 'count' | 'holding' | 'owner' | 'reportWrongOwner'> = {
		count: 1,
		holding: (shard, now) => ({shard, fencing: 1, validUntil: now + 10_000}),
		owner: shard => ({
			shard, daemonId: 'entry-0', address: '127.0.0.1', peerPort: 1,
		}),
		reportWrongOwner: () => undefined,
	};
	const owner = createShareOwner({
		shards,
		store: memory.open(),
		clock,
		ttlMs: shareMs,
		nextWriteId() {
			sequence += 1;
			return {writer: 'bench', sequence: String(sequence)};
		},
	});
	const transport: ShareTransport = {
		async renew(target, renewal) {
			renewals += 1;
			await loop.sleep(CALL_LATENCY_MS);
			return owner.renew(target.shard, renewal);
		},
	};
	const clients = Array.from({length: daemons}, (_, index) => createShareClient({
		daemonId: `entry-${index}`, run: 1, shards, transport, clock, ttlMs: shareMs,
	}));
	const demandsOf = (index: number, now: number) => {
		const busiest = moveMs === undefined ? 0 : Math.floor(now / moveMs) % daemons;
		return [{
			plan: 'plan', pool: 'pool', fraction: index === busiest ? BUSIEST_DEMAND_FRACTION : BUSIEST_DEMAND_FRACTION / daemons, inDebt: false,
		}];
	};

	const timing = {jitterShare: 0.1};
	loop.every({
		...timing, name: 'divide', periodMs: DIVIDE_PERIOD_MS, run: owner.tick,
	});
	clients.forEach((client, index) => {
		loop.every({
			...timing, name: 'renew', periodMs: renewMs, run: async now => client.renew(demandsOf(index, now)),
		});
		loop.every({
			...timing, name: 'renew unmet', periodMs: UNMET_RENEW_PERIOD_MS, run: async now => client.renewUnmet(demandsOf(index, now)),
		});
	});
	await time.advance(SETTLE_MS);
	const before = {renewals, calls: memory.calls()};
	const dividedShares: number[] = [];
	const cpuUs = await measureCpuUs(async () => {
		await Array.from({length: MEASURED_MS / SAMPLE_MS}).reduce<Promise<void>>(async previous => {
			await previous;
			await time.advance(SAMPLE_MS);
			const now = clock.monotonic();
			dividedShares.push(clients.reduce((sum, client) => sum + client.fractionOf('plan', 'pool', now), 0));
		}, Promise.resolve());
	});
	const seconds = MEASURED_MS / 1000;
	return {
		renewals: (renewals - before.renewals) / daemons / seconds,
		writes: (memory.calls() - before.calls) / seconds,
		cpuUs: cpuUs / seconds,
		dividedShare: dividedShares.reduce((sum, value) => sum + value, 0) / dividedShares.length,
	};
}
