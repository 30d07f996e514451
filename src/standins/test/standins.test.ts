import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {z} from 'zod';
import {createSystemClock} from '../../base/node/system-clock.js';
import {silentLog} from '../../kernel/common/log.js';
import {createTimerLoop} from '../../kernel/node/timer-loop.js';
import type {Chunk, GenerationRequest} from '../../adapters/common/engine.js';
import {writeSettled} from '../../adapters/common/settled-write.js';
import type {StoredObject} from '../../adapters/common/store.js';
import {createHttpEngine} from '../../adapters/node/http-engine.js';
import {createHttpScorer} from '../../adapters/node/http-scorer.js';
import {createHttpService} from '../../adapters/node/http-service.js';
import {createHttpStore} from '../../adapters/node/http-store.js';
import {createHttpWeightStore} from '../../adapters/node/http-weight-store.js';
import {renderGeneration} from '../node/deterministic-text.js';
import {createEngineStandin, type EngineOptions} from '../node/engine-standin.js';
import {createScorerStandin} from '../node/scorer-standin.js';
import {createServiceStandin} from '../node/service-standin.js';
import type {Standin} from '../node/standin-server.js';
import {createStoreStandin} from '../node/store-standin.js';
import {createWeightStoreStandin} from '../node/weight-store-standin.js';

const test = suite('stand-ins through their adapters');
const clock = createSystemClock();
const loop = createTimerLoop(clock, Math.random, silentLog);
const neverAborted = new AbortController().signal;

async function open(standin: Standin) {
	const listening = await standin.listen({address: '127.0.0.1', port: 0});
	const {address, port, dispose} = listening;
	return {
		endpoint: {address, port}, remote: {url: `http://${address}:${port}`, timeoutMs: 2000}, dispose,
	};
}

async function waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
	if (!await condition()) {
		await sleep(10);
		await waitUntil(condition);
	}
}

const engineOptions: EngineOptions = {
	id: 'e1', models: {m: 1}, fencing: 'checked', slots: 4, tokenMs: 1, chunkTokens: 4, loadMs: 5, weightStoreUrl: 'http://127.0.0.1:1',
};
const generation: GenerationRequest = {
	requestId: 'r1', model: 'm', prompt: 'fault note', maximumTokens: 400, seed: 3, priority: 0,
};

test('store: writes conditionally, reports changes to watches, and a write whose response was lost is resolved', async () => {
	const standin = createStoreStandin();
	const {remote, dispose} = await open(standin);
	const store = createHttpStore(remote, loop, Math.random);
	const seen: StoredObject[] = [];
	const watch = store.watch('lease', object => {
		seen.push(object);
	});
	const write = {
		kind: 'lease', name: 'shard-1', value: 'a', ifVersion: 0, writeId: {writer: 'd1', sequence: '1'},
	} as const;
	await sleep(50);
	const created = await store.write(write);
	assert.is(created._unsafeUnwrap().version, 1);
	const again = await store.write(write);
	assert.is(again._unsafeUnwrapErr().code, 'conflict');
	assert.is(again._unsafeUnwrapErr().effect, 'notRun');
	await waitUntil(() => seen.length > 0);
	assert.is(seen[0]?.value, 'a');

	standin.setFaults({lostAnswers: 1});
	const lost = {...write, ifVersion: 1, value: 'b'};
	const settled = await writeSettled(store, lost);
	assert.is(settled._unsafeUnwrap().version, 2);
	const read = await store.read(write);
	assert.is(read._unsafeUnwrap()?.value, 'b');
	const listed = await store.list('lease', 'shard');
	assert.is(listed._unsafeUnwrap().length, 1);

	standin.setFaults({down: true});
	const failed = await store.write({...write, ifVersion: 2});
	assert.is(failed._unsafeUnwrapErr().code, 'unavailable');
	assert.is(failed._unsafeUnwrapErr().effect, 'outcomeUnknown');
	watch.dispose();
	dispose();
});

test('engine: labels tokens with their versions when a swap happens during a stream, and the text matches the labels', async () => {
	const weights = await open(createWeightStoreStandin({models: {m: 2}, concurrentFetches: 1, fetchMs: 5}));
	const latest = await createHttpWeightStore(weights.remote).latest('m');
	assert.is(latest._unsafeUnwrap()?.version, 2);
	const {endpoint, dispose} = await open(createEngineStandin({...engineOptions, weightStoreUrl: weights.remote.url}));
	const engine = createHttpEngine(endpoint);
	const generating = engine.generate(generation, () => undefined, neverAborted);
	await sleep(40);
	const order = {
		orderId: 'o1', fencing: 7, kind: 'load-version', model: 'm', version: 2,
	} as const;
	const ordered = await engine.order(order);
	assert.is(ordered._unsafeUnwrap().fencing, 7);
	const old = await engine.order({...order, orderId: 'o0', fencing: 6});
	assert.is(old._unsafeUnwrapErr().code, 'fenced');
	const generated = await generating;
	const completion = generated._unsafeUnwrap();
	assert.equal(completion.ranges?.map(range => range.version), [1, 2]);
	assert.is(completion.text, renderGeneration(generation, completion.ranges ?? []));
	const load = await engine.load();
	assert.is(load._unsafeUnwrap().slots, 4);
	dispose();
	weights.dispose();
});

test('engine: a resumed stream continues after the tokens already generated', async () => {
	const {endpoint, dispose} = await open(createEngineStandin(engineOptions));
	const engine = createHttpEngine(endpoint);
	const chunks: Chunk[] = [];
	const stop = new AbortController();
	const broken = await engine.generate(generation, chunk => {
		chunks.push(chunk);
		if (chunks.length === 2) {
			stop.abort();
		}
	}, stop.signal);
	assert.is(broken._unsafeUnwrapErr().effect, 'outcomeUnknown');
	const resumeFrom = {text: chunks.map(chunk => chunk.text).join(''), tokens: 8, ranges: [{version: 1, from: 0, to: 8}]};
	const resumed = await engine.generate({...generation, requestId: 'r2', resumeFrom}, () => undefined, neverAborted);
	const completion = resumed._unsafeUnwrap();
	assert.is(completion.text, renderGeneration(generation, [{version: 1, from: 0, to: completion.tokens}]));
	dispose();
});

test('engine: a crash during a stream has an unknown outcome; a refusal and a closed port are "not run"', async () => {
	const standin = createEngineStandin(engineOptions);
	const {endpoint, dispose} = await open(standin);
	const engine = createHttpEngine(endpoint);
	standin.setFaults({crashMarker: 'fault', crashMs: 1});
	const crashed = await engine.generate(generation, () => undefined, neverAborted);
	assert.is(crashed._unsafeUnwrapErr().effect, 'outcomeUnknown');
	standin.setFaults({crashMarker: '', refusing: true});
	await sleep(5);
	const refused = await engine.generate({...generation, requestId: 'r3'}, () => undefined, neverAborted);
	assert.is(refused._unsafeUnwrapErr().code, 'overloaded');
	assert.is(refused._unsafeUnwrapErr().effect, 'notRun');
	dispose();
	const unused = await open(createEngineStandin(engineOptions));
	unused.dispose();
	const closed = await createHttpEngine(unused.endpoint).generate({...generation, requestId: 'r4'}, () => undefined, neverAborted);
	assert.is(closed._unsafeUnwrapErr().effect, 'notRun');
});

test('service: a lost response of a billing call has an unknown outcome, and the record contains the run', async () => {
	const standin = createServiceStandin({id: 'w1', slots: 2, workMs: 1});
	const {endpoint, dispose} = await open(standin);
	const service = createHttpService(endpoint);
	let sent = 0;
	const call = {
		requestId: 'c1', method: 'POST', path: '/stock/count', contentType: 'application/json', body: Buffer.from('{"order":1}'), repeatable: false,
	};
	const onSent = () => {
		sent += 1;
	};

	const answered = await service.call(call, onSent, neverAborted);
	assert.is(answered._unsafeUnwrap().status, 200);
	standin.setFaults({lostAnswers: 1});
	const lost = await service.call({...call, requestId: 'c2'}, onSent, neverAborted);
	assert.is(lost._unsafeUnwrapErr().effect, 'outcomeUnknown');
	assert.is(sent, 2);
	// The record contains both runs, including the one whose response was lost.
	assert.equal(z.object({runs: z.array(z.object({requestId: z.string()}))}).parse(standin.record()).runs.map(run => run.requestId), ['c1', 'c2']);
	dispose();
	const unused = await open(createServiceStandin({id: 'w2', slots: 2, workMs: 1}));
	unused.dispose();
	const refused = await createHttpService(unused.endpoint).call({...call, requestId: 'c3'}, onSent, neverAborted);
	assert.is(refused._unsafeUnwrapErr().effect, 'notRun');
	assert.is(sent, 2);
});

test('scorer: returns a score for the sample', async () => {
	const {remote, dispose} = await open(createScorerStandin());
	const scored = await createHttpScorer(remote).score({sampleId: 's1', prompt: 'p', text: 't'});
	assert.ok(scored._unsafeUnwrap() >= 0);
	dispose();
});

test.run();
