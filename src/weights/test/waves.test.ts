/** Waves of weight loads over model engines under virtual time; judged by what the engines saw and serve. */
import process from 'node:process';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createEngineModel, createLengths, type EngineModel} from '../../../bench/engine-model.js';
import {createSeededRandom, createVirtualTime} from '../../../test/fakes/virtual-loop.js';
import {Engine} from '../../adapters/common/engine.js';
import {createMemoryStore} from '../../adapters/common/memory-store.js';
import {createPoolOwner, type PoolOwner, type PoolOwnerOptions} from '../common/pool-owner.js';
import {createTargetKeeper} from '../common/target-keeper.js';
import {createVersionBook} from '../common/version-book.js';

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
	/** Whether a trainer waits for what the engines do. */
	readonly areNeeded?: boolean;
	readonly wrap?: (model: EngineModel) => EngineModel['engine'];
	readonly broken?: Partial<PoolOwnerOptions>;
};

function createWaves(options: WavesOptions = {}) {
	const time = createVirtualTime();
	const fencing = options.fencing ?? 'checked';
	const models = Array.from({length: options.engines ?? 6}, (_, index) => createEngineModel({
		id: `engine-${index}`, loop: time.loop, models: ['m'], slots: 8, tokensPerSecond: 400, streamTokensPerSecond: 80, prefillTokensPerSecond: 4000,
		loadMs: options.loadMs ?? 3000, fencing, lengthOf: createLengths(80, 400), startVersion: 1,
	}));
	const wrap = options.wrap ?? (model => model.engine);
	let held = 0;
	let mostLoading = 0;

	function own(number: number, delayMs = 0): PoolOwner {
		held = number;
		const owner = createPoolOwner({
			pool: 'p', daemonId: `daemon-${number}`, models: ['m'], fencing, leaseMs: 6000, monotonic: time.clock.monotonic,
			limits: {
				waveShare: options.waveShare ?? 0.34, concurrentLoads: options.concurrentLoads ?? 8, loadTimeoutMs: 10_000, pollMs: 500,
				toleratedLag: () => options.toleratedLag ?? 0, deferralMs: options.deferralMs ?? 10_000,
			},
			holding: () => held === number ? {shard: 0, fencing: number, validUntil: Number.POSITIVE_INFINITY} : undefined,
			engines: () => models.map(model => ({id: model.id, engine: wrap(model)})),
			isNeeded: () => options.areNeeded ?? false, record: () => undefined, onFailure: () => undefined, ...options.broken,
		}, {shard: 0, fencing: number, validUntil: Number.POSITIVE_INFINITY}, time.clock.monotonic() + delayMs);
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
			mostLoading = Math.max(mostLoading, loading);
		},
	});
	return {
		time, models, own, mostLoading: () => mostLoading, versions: () => models.map(model => model.version('m')),
	};
}

test('brings every engine to the target in waves that keep most engines serving', async () => {
	const waves = createWaves();
	waves.own(1).setTargets([{model: 'm', version: 2}]);
	await waves.time.advance(20_000);
	assert.equal(new Set(waves.versions()), new Set([2]));
	assert.is(waves.mostLoading(), 2);
});

/** Publishes version 2 after 5 s, and version 3 after 11 s, to engines that are needed all the time; returns the versions at 10 s and at 40 s. */
async function publishToNeeded(options: WavesOptions): Promise<ReadonlyArray<ReadonlySet<number>>> {
	const waves = createWaves({areNeeded: true, toleratedLag: 1, ...options});
	const owner = waves.own(1);
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

test('puts off the loads of engines that are needed, but neither beyond the tolerated lag nor for longer than allowed', async () => {
	const [early, late] = await publishToNeeded({deferralMs: 10_000});
	assert.equal([early, late], [new Set([1]), new Set([3])]);
	const [, beyondLag] = await publishToNeeded({deferralMs: Number.POSITIVE_INFINITY});
	assert.equal(beyondLag, new Set([3]));
	const [notTolerated] = await publishToNeeded({toleratedLag: 0, deferralMs: Number.POSITIVE_INFINITY});
	assert.ok(notTolerated!.has(2));
});

test('catches loads that are put off without a bound', async () => {
	const [, late] = await publishToNeeded({deferralMs: Number.POSITIVE_INFINITY, toleratedLag: 2});
	assert.equal(late, new Set([1]));
});

test('brings 1,100 engines to the target within 21 s of virtual time when the weight store sustains 374 loads', async () => {
	const waves = createWaves({engines: 1100, concurrentLoads: 374, loadMs: 3000});
	const owner = waves.own(1);
	// All engines have been read before the version is published.
	await waves.time.advance(60_000);
	owner.setTargets([{model: 'm', version: 2}]);
	await waves.time.advance(21_000);
	assert.equal(new Set(waves.versions()), new Set([2]));
	assert.ok(waves.mostLoading() <= 374);
});

test('orders failed and half-done loads again, and uses no engine on an unexpected version, under random faults', async () => {
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
	const owner = waves.own(1);
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
	// The expected versions never go down, so a usable engine below what it has confirmed is a wrong one.
	const highest = new Map<string, number>();
	waves.time.loop.every({
		name: 'check', periodMs: 100, run() {
			owner.book.engines('m').filter(engine => engine.usable).forEach(engine => {
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

/** Believes that an engine serves what it was ordered to serve. */
function believeOrders(model: EngineModel): EngineModel['engine'] {
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

test('catches orders that are believed without reading back', async () => {
	const cache = new Map<string, EngineModel['engine']>();
	const wrap = (model: EngineModel) => {
		const engine = cache.get(model.id) ?? believeOrders(model);
		cache.set(model.id, engine);
		return engine;
	};

	const found = await runFaults(1, {wrap});
	assert.ok(found.some(problem => problem.includes('stays on version')));
});

/** The old holder sends an order for version 2 after a new holder has brought the engines to version 3. */
async function sendLateOrder(options: WavesOptions): Promise<readonly number[]> {
	const waves = createWaves(options);
	const old = waves.own(1);
	old.setTargets([{model: 'm', version: 2}]);
	await waves.time.advance(15_000);
	const next = waves.own(2);
	next.setTargets([{model: 'm', version: 3}]);
	await waves.time.advance(60_000);
	const late = await waves.models[0]!.engine.order({
		orderId: 'late', fencing: 1, kind: 'load-version', model: 'm', version: 2,
	});
	assert.is(late.isErr(), options.fencing !== 'ignored');
	await waves.time.advance(30_000);
	return waves.versions();
}

test('a late order of an old holder is refused, or put right where engines ignore fencing', async () => {
	assert.equal(new Set(await sendLateOrder({fencing: 'checked'})), new Set([3]));
	assert.equal(new Set(await sendLateOrder({fencing: 'ignored'})), new Set([3]));
});

test('a new holder of engines that ignore fencing gives no order before the old lease and its longest order have ended', async () => {
	const waves = createWaves({fencing: 'ignored'});
	const owner = waves.own(2);
	owner.setTargets([{model: 'm', version: 2}]);
	await waves.time.advance(15_900);
	assert.is(waves.models.flatMap(model => model.orders()).length, 0);
	await waves.time.advance(30_000);
	assert.equal(new Set(waves.versions()), new Set([2]));
});

test('an owner that has lost its holding gives no order', async () => {
	const waves = createWaves({broken: {holding: () => undefined}});
	waves.own(1).setTargets([{model: 'm', version: 2}]);
	await waves.time.advance(20_000);
	assert.is(waves.models.flatMap(model => model.orders()).length, 0);
});

test('a target never goes down when publishers race and answers are lost', async () => {
	const memory = createMemoryStore();
	const random = createSeededRandom(7);
	const keepers = ['a', 'b', 'c'].map(writer => createTargetKeeper(memory.open(call => call === 'write' && random() < 0.4 ? 'lostAnswer' : 'none'), writer));
	await Promise.all([3, 9, 5, 7, 2, 8].map(async (version, index) => keepers[index % 3]!.raise('p', {model: 'm', version})));
	const read = await keepers[0]!.read('p');
	assert.equal(read._unsafeUnwrap(), [{model: 'm', version: 9}]);
});

test('a follower of a book reads only what has changed', () => {
	const book = createVersionBook('owner-1');
	const follower = createVersionBook('');
	const engines = [{serverId: 'a', version: 1, usable: true}, {serverId: 'b', version: 1, usable: true}];
	book.replace({model: 'm', version: 1}, engines);
	follower.apply(book.changesSince('', 0));
	book.replace({model: 'm', version: 2}, [{serverId: 'a', version: 2, usable: false}]);
	const {book: source, revision} = follower.position();
	const changes = book.changesSince(source, revision);
	assert.is(changes.entries.length, 2);
	assert.equal(follower.apply(changes), ['m']);
	assert.equal(follower.engines('m'), [{serverId: 'a', version: 2, usable: false}]);
});

test.run();
