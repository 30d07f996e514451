/** Route for calls of plain services. Calls that are not idempotent run with a claim. */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {setMaxListeners} from 'node:events';
import type {ServerResponse} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import type {Clock} from '../../base/common/clock.js';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../base/common/failure.js';
import {hashToHex} from '../../base/common/hash.js';
import type {Admission} from '../../limits/common/admission.js';
import type {ServiceResponse} from '../../adapters/common/service.js';
import type {Router} from '../../routing/common/router.js';
import type {Pool, ServicePool} from '../../settings/common/settings.js';
import {claimKeyOf} from '../common/claims.js';
import type {FrontRequest, Route} from '../common/front.js';
import type {AttemptContext, AttemptRunner} from './attempt-runner.js';
import type {ClaimedRuns, Reply} from './claimed-runs.js';
import {sendProblem, sendResponse} from './respond.js';

/** Dependencies of the route for service calls. */
export type ServiceRouteDependencies = {
	readonly pools: readonly Pool[];
	readonly admission: Admission;
	readonly router: Router;
	readonly runner: AttemptRunner;
	readonly claimedRuns: ClaimedRuns;
	readonly clock: Clock;
};

type Call = {
	readonly pool: ServicePool;
	readonly plan: string;
	readonly method: string;
	/** Path and query, relative to the root of the service. */
	readonly path: string;
	readonly contentType: string | undefined;
	readonly body: Uint8Array;
	/** Undefined for idempotent operations. */
	readonly idempotencyKey: string | undefined;
	readonly request: FrontRequest;
};

const EXPECTED_RESPONSE_BYTES = 4096;
/** Signal of claimed runs, which continue when the caller disconnects so that a repetition can receive their outcome. */
const neverAborted = new AbortController().signal;
setMaxListeners(0, neverAborted);

function isIdempotent(pool: ServicePool, method: string, path: string): boolean {
	return pool.operations.some(operation => operation.idempotent && operation.method === method && operation.path === path);
}

function readCall(request: FrontRequest, pools: readonly Pool[]): Result<Call, Failure> {
	const origin = {step: 'read service call', peer: 'caller'};
	const {raw, parameters, principal} = request;
	const pool = pools.find(candidate => candidate.kind === 'service' && candidate.name === parameters.pool);
	if (pool?.kind !== 'service') {
		return err(createNotRun('notFound', origin, `no service pool ${parameters.pool ?? ''}`));
	}

	if (principal.kind !== 'customer') {
		return err(createNotRun('unauthorized', origin, 'only customers call services'));
	}

	const method = raw.method ?? 'GET';
	const path = `/${parameters.path ?? ''}`;
	const key = raw.headers['idempotency-key'];
	const idempotent = isIdempotent(pool, method, path);
	if (!idempotent && (typeof key !== 'string' || !/^[!-~]{1,128}$/.test(key))) {
		return err(createNotRun('invalid', origin, 'the operation needs an Idempotency-Key header of 1 to 128 visible ASCII characters'));
	}

	const {search} = new URL(raw.url ?? '/', 'http://self');
	return ok({
		pool,
		plan: principal.plan.name,
		method,
		path: `${path}${search}`,
		contentType: raw.headers['content-type'],
		body: request.body,
		idempotencyKey: !idempotent && typeof key === 'string' ? key : undefined,
		request,
	});
}

/** Creates the route for service calls. */
export function createServiceRoute(dependencies: ServiceRouteDependencies): Route {
	const {admission, router, runner, claimedRuns, clock} = dependencies;

	async function attempt(call: Call, context: AttemptContext, mayStart: () => boolean): Promise<Result<ServiceResponse, Failure>> {
		const origin = {step: 'call service', peer: context.server.id};
		const claimExpired = err(createNotRun('deadlineExceeded', origin, 'the claim expired before the first byte was sent'));
		if (!mayStart()) {
			return claimExpired;
		}

		const controller = new AbortController();
		let isCancelled = false;
		const called = await router.service(context.server).call({
			requestId: context.attemptId, method: call.method, path: call.path, contentType: call.contentType, body: call.body, repeatable: call.idempotencyKey === undefined,
		}, () => {
			if (mayStart()) {
				context.attempt.sent();
				return;
			}

			isCancelled = true;
			controller.abort();
		}, AbortSignal.any([controller.signal, context.signal]));
		if (isCancelled) {
			return claimExpired;
		}

		return called.andThen(serviceResponse => serviceResponse.requestId === context.attemptId
			? ok(serviceResponse)
			: err(createOutcomeUnknown('incomplete', origin, 'the response belongs to another request')));
	}

	async function run(call: Call, signal: AbortSignal, mayStart: () => boolean): Promise<Result<ServiceResponse, Failure>> {
		const bodyDigest = hashToHex(Buffer.from(call.body).toString('base64'));
		return runner.run({
			requestId: call.request.requestId,
			fingerprint: hashToHex(JSON.stringify([call.pool.name, call.method, call.path, bodyDigest])),
			repeatable: () => call.idempotencyKey === undefined,
			deadline: call.request.deadline,
			signal,
			route: {
				pool: call.pool.name,
				prefixKey: undefined,
				prefixTokens: 0,
				expectedTokens: 0,
				expectedBytes: call.body.length + EXPECTED_RESPONSE_BYTES,
				allowed: undefined,
			},
		}, async context => attempt(call, context, mayStart));
	}

	async function runUnclaimed(call: Call): Promise<Result<Reply, Failure>> {
		const result = await run(call, call.request.signal, () => true);
		return result.map(serviceResponse => ({...serviceResponse, replayed: false}));
	}

	async function runClaimed(call: Call, idempotencyKey: string): Promise<Result<Reply, Failure>> {
		return claimedRuns.run({
			key: claimKeyOf({
				plan: call.plan, pool: call.pool.name, method: call.method, path: call.path, idempotencyKey,
			}),
			bodyDigest: hashToHex(Buffer.from(call.body).toString('base64')),
			claimId: randomUUID(),
			deadline: call.request.deadline,
			signal: call.request.signal,
		}, async mayStart => run(call, neverAborted, mayStart));
	}

	async function admitAndRun(call: Call): Promise<Result<Reply, Failure>> {
		const {request, idempotencyKey} = call;
		const admitted = await admission.admit({
			plan: call.plan, pool: call.pool.name, tokens: 0, deadline: request.deadline,
		}, clock.monotonic(), request.signal);
		if (admitted.isErr()) {
			return err(admitted.error);
		}

		const result = idempotencyKey === undefined
			? await runUnclaimed(call)
			: await runClaimed(call, idempotencyKey);
		admitted.value.release(clock.monotonic(), 0);
		return result;
	}

	function respond(response: ServerResponse, result: Result<Reply, Failure>, requestId: string): void {
		result.match(reply => {
			if (reply.replayed && !response.headersSent) {
				response.setHeader('idempotency-replayed', 'true');
			}

			sendResponse(response, reply.status, reply.contentType, reply.body);
		}, failure => {
			sendProblem(response, failure, requestId);
		});
	}

	return {
		method: 'ANY',
		path: '/v1/services/:pool/*path',
		access: 'customer',
		async handle(request, response) {
			const call = readCall(request, dependencies.pools);
			const result = call.isErr() ? err(call.error) : await admitAndRun(call.value);
			respond(response, result, request.requestId);
		},
	};
}
