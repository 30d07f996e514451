/** A worker of a plain service over HTTP. */
import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {createOutcomeUnknown, type Failure} from '../../base/common/failure.js';
import type {Endpoint} from '../common/engine.js';
import {Service, type ServiceResponse, type ServiceCall} from '../common/service.js';
import {createStatusFailure, isNotRunResponse} from './http-responses.js';
import {callJson, createHttpClient} from './http-client.js';
import type {HttpResponse} from './http-exchange.js';
import {loadReport, REPORT_TIMEOUT_MS, urlOf} from './endpoint-protocol.js';

/** Creates the service worker at an endpoint. */
export function createHttpService(endpoint: Endpoint): Service {
	const client = createHttpClient(urlOf(endpoint));

	function readServiceResponse(response: HttpResponse, call: ServiceCall): Result<ServiceResponse, Failure> {
		const step = 'call service';
		if (isNotRunResponse(response)) {
			return err(createStatusFailure(response, step, client.peer));
		}

		const requestId = response.headers['x-request-id'];
		return requestId === call.requestId
			? ok({
				requestId: call.requestId, status: response.status, contentType: response.headers['content-type'], body: response.body,
			})
			: err(createOutcomeUnknown('incomplete', {step, peer: client.peer}, `the response has the request id ${String(requestId)}`));
	}

	return new (class extends Service {
		override async call(call: ServiceCall, onSent: () => void, signal: AbortSignal) {
			const result = await client.call({
				step: 'call service',
				method: call.method,
				path: call.path,
				connection: call.repeatable ? 'kept' : 'new',
				headers: {'x-request-id': call.requestId, ...(call.contentType !== undefined && {'content-type': call.contentType})},
				body: Buffer.from(call.body),
				onSent,
				signal,
			});
			return result.andThen(response => readServiceResponse(response, call));
		}

		override async load() {
			return callJson(client, {
				step: 'read load', method: 'GET', path: '/load', timeoutMs: REPORT_TIMEOUT_MS,
			}, loadReport);
		}
	})();
}
