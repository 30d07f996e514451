import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createEmitter} from '../../base/common/event.js';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../base/common/failure.js';
import {silentMetrics} from '../../kernel/common/metrics.js';
import {
	Engine, type Chunk, type Generation, type GenerationRequest, type LoadReport,
} from '../../adapters/common/engine.js';
import {Service, type ServiceResponse, type ServiceCall} from '../../adapters/common/service.js';
import type {Router, RouteRequest} from '../../routing/common/router.js';
import type {Pool} from '../../settings/common/settings.js';
import {permissiveGuard} from '../common/suspect-guard.js';
import {createAttemptRunner} from '../node/attempt-runner.js';
import {createClaimedRuns} from '../node/claimed-runs.js';
import {createCompletionRoute} from '../node/completions.js';
import type {FrontServer} from '../node/front-server.js';
import {createServiceRoute} from '../node/services.js';
import {callFront, createOpenFront, realTime} from './harness/open-front.js';

const test = suite('routes');
const fronts: FrontServer[] = [];
const pools: readonly Pool[] = [
	{
		name: 'llm', kind: 'engine', adapter: 'fake', models: ['m'], fencing: 'checked', slots: 4,
	},
	{
		name: 'portal', kind: 'service', adapter: 'fake', slots: 4, operations: [{path: '/lookup', method: 'GET', idempotent: true}],
	},
];
const brokenConnection = createOutcomeUnknown('incomplete', {step: 'generate', peer: 'engine'}, 'connection broken');
const unused = (): never => {
	throw new Error('not used');
};

type Generate = (request: GenerationRequest, onChunk: (chunk: Chunk) => void, signal: AbortSignal) => Promise<Result<Generation, Failure>>;
type Call = (call: ServiceCall) => Promise<Result<ServiceResponse, Failure>>;

function createEngine(generate: Generate): Engine {
	return new (class extends Engine {
		override generate: Engine['generate'] = generate;
		override load = async (): Promise<Result<LoadReport, Failure>> => unused();
		override status: Engine['status'] = async () => unused();
		override order: Engine['order'] = async () => unused();
	})();
}

function createService(call: Call): Service {
	return new (class extends Service {
		override async call(call_: ServiceCall, onSent: () => void) {
			onSent();
			return call(call_);
		}

		override load = async (): Promise<Result<LoadReport, Failure>> => unused();
	})();
}

async function open(handlers: {readonly generate?: Generate; readonly call?: Call}) {
	const {clock, loop} = realTime;
	const counts = {tickets: 0, dispatches: 0};
	const router: Router = {
		dispatch({pool, excluded}: RouteRequest) {
			const id = ['s1', 's2', 's3'].find(candidate => !excluded.includes(candidate))!;
			counts.dispatches += 1;
			return ok({
				server: {
					id, pool, address: '127.0.0.1', port: 1, availabilityZone: 'a', region: 'r', state: 'live',
				},
				end() {
					counts.dispatches -= 1;
				},
			});
		},
		servers: () => [],
		engine: () => createEngine(handlers.generate ?? unused),
		service: () => createService(handlers.call ?? unused),
		onDidChangeServers: createEmitter<never>().event,
		inFlight: () => 0,
		load: () => ({requests: 0, likelyRequests: 0, slots: 1}),
	};
	const admission = {
		async admit() {
			counts.tickets += 1;
			return ok({
				release() {
					counts.tickets -= 1;
				},
			});
		},
	};
	const front = createOpenFront({maximumBodyBytes: 10_000, headerTimeoutMs: 1000});
	fronts.push(front);
	const runner = createAttemptRunner({
		router, suspects: permissiveGuard, maximumAttempts: 3, retryShare: 1, clock, loop, metrics: silentMetrics,
	});
	const claims = {
		claim: async () => ok({kind: 'granted', until: clock.monotonic() + 1000} as const),
		settle: () => undefined,
	};
	const common = {
		pools, admission, router, runner, clock,
	};
	front.register(createCompletionRoute(common));
	front.register(createServiceRoute({...common, claimedRuns: createClaimedRuns(claims, clock, loop)}));
	const port = await front.listen();
	return {port, counts};
}

async function call(port: number, method: string, path: string, body: unknown, headers: Readonly<Record<string, string>> = {}) {
	const {status, text} = await callFront(port, method, path, body === undefined ? '' : JSON.stringify(body), headers);
	return {status, text};
}

const completions = '/v1/models/llm/completions';
const chunk = (text: string, version: number | undefined): Chunk => ({text, tokens: 1, version});

/** Creates an engine that sends one chunk per call, fails in its first `failingCalls` calls, and resumes from where the request says. */
function createFailingEngine(failingCalls: number, version: number | undefined): {readonly generate: Generate; readonly requests: GenerationRequest[]} {
	const requests: GenerationRequest[] = [];
	return {
		requests,
		async generate(request, onChunk) {
			requests.push(request);
			onChunk(chunk('a', version));
			if (requests.length <= failingCalls) {
				return err(brokenConnection);
			}

			const text = `${request.resumeFrom?.text ?? ''}a`;
			return ok({
				requestId: request.requestId, text, tokens: text.length, ranges: [{version: 1, from: 0, to: text.length}], finish: 'stop',
			});
		},
	};
}

test.after(() => {
	fronts.forEach(front => {
		front.dispose();
	});
});

test('streams chunks and one end event, and resumes at another engine when an engine fails', async () => {
	const engine = createFailingEngine(1, 1);
	const {port, counts} = await open(engine);
	const answer = await call(port, 'POST', completions, {prompt: 'p', maximumTokens: 8, stream: true});
	assert.equal(answer.text.match(/^event: \w+/gm), ['event: chunk', 'event: chunk', 'event: end']);
	assert.match(answer.text, /"text":"aa","tokens":2/);
	assert.equal(engine.requests[1]?.resumeFrom, {text: 'a', tokens: 1, ranges: [{version: 1, from: 0, to: 1}]});
	assert.equal(counts, {tickets: 0, dispatches: 0});
});

test('ends a stream that cannot be resumed with an error event, not as a shorter success', async () => {
	const {port, counts} = await open(createFailingEngine(1, undefined));
	const answer = await call(port, 'POST', completions, {prompt: 'p', maximumTokens: 8, stream: true});
	assert.equal(answer.text.match(/^event: \w+/gm), ['event: chunk', 'event: error']);
	assert.match(answer.text, /"effect":"outcomeUnknown"/);
	assert.equal(counts, {tickets: 0, dispatches: 0});
});

test('refuses a generation with the id of another request', async () => {
	const {port} = await open({
		generate: async () => ok({
			requestId: 'other', text: '', tokens: 0, ranges: [], finish: 'stop',
		}),
	});
	const answer = await call(port, 'POST', completions, {prompt: 'p', maximumTokens: 8});
	assert.is(answer.status, 502);
	assert.match(answer.text, /outcomeUnknown/);
});

test('refuses malformed completions as not run', async () => {
	const {port, counts} = await open({});
	const wrong = await Promise.all([{prompt: ''}, {prompt: 'p', maximumTokens: 8, model: 'none'}, {prompt: 'p', maximumTokens: 8, typo: 1}].map(async body => call(port, 'POST', completions, body)));
	assert.equal(wrong.map(answer => [answer.status, answer.text.includes('notRun')]), [[400, true], [400, true], [400, true]]);
	assert.equal(counts, {tickets: 0, dispatches: 0});
});

test('requires an idempotency key for operations that are not idempotent, and retries only idempotent ones', async () => {
	const calls: ServiceCall[] = [];
	const {port, counts} = await open({
		async call(received) {
			calls.push(received);
			return err(brokenConnection);
		},
	});
	const missing = await call(port, 'POST', '/v1/services/portal/count', {});
	assert.is(missing.status, 400);
	assert.is(calls.length, 0);
	const keyed = await call(port, 'POST', '/v1/services/portal/count?x=1', {}, {'idempotency-key': 'k'});
	assert.equal([keyed.status, calls.length, calls[0]?.path], [502, 1, '/count?x=1']);
	await call(port, 'GET', '/v1/services/portal/lookup', undefined);
	assert.is(calls.length, 4, 'an idempotent lookup is attempted three times');
	assert.equal(counts, {tickets: 0, dispatches: 0});
});

test('returns the complete response of a service, and refuses the response to another request', async () => {
	const {port} = await open({
		call: async received => ok({
			requestId: received.path === '/crossed' ? 'other' : received.requestId, status: 201, contentType: 'text/plain', body: Buffer.from('done'),
		}),
	});
	const whole = await call(port, 'POST', '/v1/services/portal/order', {}, {'idempotency-key': 'k'});
	assert.equal(whole, {status: 201, text: 'done'});
	const crossed = await call(port, 'POST', '/v1/services/portal/crossed', {}, {'idempotency-key': 'k'});
	assert.is(crossed.status, 502);
	assert.match(crossed.text, /outcomeUnknown/);
});

test('reports not run when a service reports that it ran nothing', async () => {
	const {port} = await open({call: async () => err(createNotRun('overloaded', {step: 'call', peer: 's'}, 'full', 3000))});
	const answer = await call(port, 'POST', '/v1/services/portal/order', {}, {'idempotency-key': 'k'});
	assert.equal([answer.status, answer.text.includes('"effect":"notRun"')], [503, true]);
});

test.run();
