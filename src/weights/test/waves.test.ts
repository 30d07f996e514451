/** Waves of weight loads on simulated engines under virtual time, checked by the orders and versions of the engines. */
import process from 'node:process';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createEngineModel, createLengthDistribution, type EngineModel} from '../../../bench/engine-model.js';
import {createSeededRandom, createVirtualTime} from '../../../test/fakes/virtual-loop.js';
import {Engine} from '../../adapters/common/engine.js';
import {createMemoryStore} from '../../adapters/common/memory-store.js';
import {createPoolOwner, type PoolOwner, type PoolOwnerOptions} from '../common/pool-owner.js';
import {createTargetStore} from '../common/target-store.js';
import {createVersionTable} from '../common/version-table.js';

const test = suite('weight waves');
const SEEDS = 40 * Number(process.env.FUZZ_FACTOR ?? 1);

type WavesOptions = {
	readonly engines?: number;
	readonly fencing?: 'checked' | 'ignored';
	readonly concurrentLoads?: number;
	readonly waveShare?: number;
	readonly loadMs?: number;
	readonly toleratedLag?: number;
	readonly deferralMs?: number;
	/** Whether a trainer waits for the current requests of the engines. */
	readonly areNeeded?: boolean;
	readonly wrap?: (model: EngineModel) => EngineModel['engine'];
	readonly broken?: Partial<PoolOwnerOptions>;
};

function createWaves(options: WavesOptions = {}) {
	const time = createVirtualTime();
	const fencing = options.fencing ?? 'checked';
	const models = Array.from({length: options.engines ?? 6}, (_, index) => createEngineModel({
		id: `engine-${index}`, loop: time.loop, models: ['m'], slots: 8, tokensPerSecond: 400, streamTokensPerSecond: 80, prefillTokensPerSecond: 4000,
		loadMs: options.loadMs ?? 3000, fencing, lengthOf: createLengthDistribution(80, 400), startVersion: 1,
	}));
	const wrap = options.wrap ?? (model => model.engine);
	let held = 0;
	let maximumLoading = 0;

	function startOwner(fencingNumber: number, delayMs = 0): PoolOwner {
		held = fencingNumber;
		const owner = createPoolOwner({
			pool: 'p', daemonId: `daemon-${fencingNumber}`, models: ['m'], fencing, leaseMs: 6000, monotonic: time.clock.monotonic,
			limits: {
				waveShare: options.waveShare ?? 0.34, concurrentLoads: options.concurrentLoads ?? 8, loadTimeoutMs: 10_000, pollMs: 500,
				toleratedLag: () => options.toleratedLag ?? 0, deferralMs: options.deferralMs ?? 10_000,
			},
			holding: () => held === fencingNumber ? {shard: 0, fencing: fencingNumber, validUntil: Number.POSITIVE_INFINITY} : undefined,
			engines: () => models.map(model => ({id: model.id, engine: wrap(model)})),
			isNeeded: () => options.areNeeded ?? false, record: () => undefined, onFailure: () => undefined, ...options.broken,
		}, {shard: 0, fencing: fencingNumber, validUntil: Number.POSITIVE_INFINITY}, time.clock.monotonic() + delayMs);
		time.loop.every({
			name: 'run', periodMs: 500, run(now) {
				owner.run(now);
			},
		});
		return owner;
	}

	time.loop.every({
		name: 'count', periodMs: 100, async run() {
			const statuses = await Promise.all(models.map(async model => model.engine.status()));
			const loading = statuses.filter(status => status.isOk() && status.value.models[0]?.state === 'loading').length;
			maximumLoading = Math.max(maximumLoading, loading);
		},
	});
	return {
		time, models, startOwner, maximumLoading: () => maximumLoading, versions: () => models.map(model => model.version('m')),
	};
}

test('loads the target on every engine in waves, while most engines continue to serve', async () => {
	const waves = createWaves();
	waves.startOwner(1).setTargets([{model: 'm', version: 2}]);
	await waves.time.advance(20_000);
	assert.equal(new Set(waves.versions()), new Set([2]));
	assert.is(waves.maximumLoading(), 2);
});

/** Publishes version 2 after 5 s, and version 3 after 11 s, to engines that are needed all the time; returns the versions at 10 s and at 40 s. */
async function publishToNeeded(options: WavesOptions): Promise<ReadonlyArray<ReadonlySet<number>>> {
	const waves = createWaves({areNeeded: true, toleratedLag: 1, ...options});
	const owner = waves.startOwner(1);
	[2, 3].forEach((version, index) => {
		waves.time.loop.after(5000 + (index * 6000), () => {
			owner.setTargets([{model: 'm', version}]);
		});
	});
	await waves.time.advance(10_500);
	const early = new Set(waves.versions());
	await waves.time.advance(29_500);
	return [early, new Set(waves.versions())];
}

test('defers the loads of needed engines, but neither beyond the tolerated lag nor for longer than the deferral time', async () => {
	const [early, late] = await publishToNeeded({deferralMs: 10_000});
	assert.equal([early, late], [new Set([1]), new Set([3])]);
	const [, beyondLag] = await publishToNeeded({deferralMs: Number.POSITIVE_INFINITY});
	assert.equal(beyondLag, new Set([3]));
	const [notTolerated] = await publishToNeeded({toleratedLag: 0, deferralMs: Number.POSITIVE_INFINITY});
	assert.ok(notTolerated!.has(2));
});

test('never loads a needed engine when the deferral time and the tolerated lag have no effective bound', async () => {
	const [, late] = await publishToNeeded({deferralMs: Number.POSITIVE_INFINITY, toleratedLag: 2});
	assert.equal(late, new Set([1]));
});

test('loads the target on 1,100 engines within 21 s of virtual time when the weight store sustains 374 concurrent loads', async () => {
	const waves = createWaves({engines: 1100, concurrentLoads: 374, loadMs: 3000});
	const owner = waves.startOwner(1);
	// All engines are read before the version is published.
	await waves.time.advance(60_000);
	owner.setTargets([{model: 'm', version: 2}]);
	await waves.time.advance(21_000);
	assert.equal(new Set(waves.versions()), new Set([2]));
	assert.ok(waves.maximumLoading() <= 374);
});

test('orders failed and interrupted loads again, and reports no engine on an unexpected version as usable, under random faults', async () => {
	const seeds = Array.from({length: SEEDS}, (_, index) => index + 1);
	const found = await seeds.reduce<Promise<readonly string[]>>(async (previous, seed) => {
		const before = await previous;
		return [...before, ...await runFaults(seed, {})];
	}, Promise.resolve([]));
	assert.equal(found, []);
});

async function runFaults(seed: number, options: WavesOptions): Promise<readonly string[]> {
	const random = createSeededRandom(seed);
	const waves = createWaves(options);
	const owner = waves.startOwner(1);
	const wrong: string[] = [];
	[2, 3, 4].forEach((version, index) => {
		waves.time.loop.after(index * 15_000, () => {
			owner.setTargets([{model: 'm', version}]);
		});
	});
	waves.models.forEach(model => {
		waves.time.loop.after(random() * 45_000, () => {
			model.setLoadFault(random() < 0.5 ? 'fails' : 'unexpected');
		});
		waves.time.loop.after(random() * 45_000, () => {
			if (random() < 0.3) {
				model.crash(4000);
			}
		});
	});
	// The expected versions never decrease, so a usable engine must not report a version below one that it has served before.
	const highest = new Map<string, number>();
	waves.time.loop.every({
		name: 'check', periodMs: 100, run() {
			owner.versionTable.engines('m').filter(engine => engine.usable).forEach(engine => {
				const known = highest.get(engine.serverId) ?? 0;
				highest.set(engine.serverId, Math.max(known, engine.version));
				if (engine.version < known) {
					wrong.push(`seed ${seed}: ${engine.serverId} is used on version ${engine.version} after ${known}`);
				}
			});
		},
	});
	await waves.time.advance(120_000);
	return [...wrong, ...waves.versions().filter(version => version !== 4).map(version => `seed ${seed}: an engine stays on version ${version}`)];
}

/** Wraps an engine so that its status reports the ordered versions as served, whether it has loaded them or not. */
function trustOrders(model: EngineModel): EngineModel['engine'] {
	const {engine} = model;
	const ordered = new Map<string, number>();
	return new (class extends Engine {
		override generate: Engine['generate'] = async (request, onChunk, signal) => engine.generate(request, onChunk, signal);
		override load: Engine['load'] = async () => engine.load();
		override order: Engine['order'] = async order => {
			ordered.set(order.model, order.version);
			return engine.order(order);
		};

		override async status() {
			const status = await engine.status();
			return status.map(value => ({...value, models: value.models.map(entry => ({...entry, version: ordered.get(entry.model) ?? entry.version, state: 'serving' as const}))}));
		}
	})();
}

test('the check detects an owner that trusts its orders instead of verifying them by status reads', async () => {
	const cache = new Map<string, EngineModel['engine']>();
	const wrap = (model: EngineModel) => {
		const engine = cache.get(model.id) ?? trustOrders(model);
		cache.set(model.id, engine);
		return engine;
	};

	const found = await runFaults(1, {wrap});
	assert.ok(found.some(problem => problem.includes('stays on version')));
});

/** The previous owner sends an order for version 2 after a new owner has updated the engines to version 3. */
async function sendLateOrder(options: WavesOptions): Promise<readonly number[]> {
	const waves = createWaves(options);
	const old = waves.startOwner(1);
	old.setTargets([{model: 'm', version: 2}]);
	await waves.time.advance(15_000);
	const next = waves.startOwner(2);
	next.setTargets([{model: 'm', version: 3}]);
	await waves.time.advance(60_000);
	const late = await waves.models[0]!.engine.order({
		orderId: 'late', fencing: 1, kind: 'load-version', model: 'm', version: 2,
	});
	assert.is(late.isErr(), options.fencing !== 'ignored');
	await waves.time.advance(30_000);
	return waves.versions();
}

test('a late order of a previous owner is refused, or corrected when engines ignore fencing numbers', async () => {
	assert.equal(new Set(await sendLateOrder({fencing: 'checked'})), new Set([3]));
	assert.equal(new Set(await sendLateOrder({fencing: 'ignored'})), new Set([3]));
});

test('a new owner of engines that ignore fencing numbers sends no order before the previous lease and its longest order have ended', async () => {
	const waves = createWaves({fencing: 'ignored'});
	const owner = waves.startOwner(2);
	owner.setTargets([{model: 'm', version: 2}]);
	await waves.time.advance(15_900);
	assert.is(waves.models.flatMap(model => model.receivedOrders()).length, 0);
	await waves.time.advance(30_000);
	assert.equal(new Set(waves.versions()), new Set([2]));
});

test('an owner that has lost its holding sends no order', async () => {
	const waves = createWaves({broken: {holding: () => undefined}});
	waves.startOwner(1).setTargets([{model: 'm', version: 2}]);
	await waves.time.advance(20_000);
	assert.is(waves.models.flatMap(model => model.receivedOrders()).length, 0);
});

test('a target never decreases when publishers write concurrently and responses of the store are lost', async () => {
	const memory = createMemoryStore();
	const random = createSeededRandom(7);
	const targetStores = ['a', 'b', 'c'].map(writer => createTargetStore(memory.open(call => call === 'write' && random() < 0.4 ? 'lostAnswer' : 'none'), writer));
	await Promise.all([3, 9, 5, 7, 2, 8].map(async (version, index) => targetStores[index % 3]!.raise('p', {model: 'm', version})));
	const read = await targetStores[0]!.read('p');
	assert.equal(read._unsafeUnwrap(), [{model: 'm', version: 9}]);
});

test('a replica of a version table reads only the changes', () => {
	const table = createVersionTable('owner-1');
	const replica = createVersionTable('');
	const engines = [{serverId: 'a', version: 1, usable: true}, {serverId: 'b', version: 1, usable: true}];
	table.replace({model: 'm', version: 1}, engines);
	replica.apply(table.changesSince('', 0));
	table.replace({model: 'm', version: 2}, [{serverId: 'a', version: 2, usable: false}]);
	const {book: source, revision} = replica.position();
	const changes = table.changesSince(source, revision);
	assert.is(changes.entries.length, 2);
	assert.equal(replica.apply(changes), ['m']);
	assert.equal(replica.engines('m'), [{serverId: 'a', version: 2, usable: false}]);
});

test.run();
