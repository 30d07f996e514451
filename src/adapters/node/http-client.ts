/**
 * A small HTTP client over Node's `http`. A call returns a complete response of bounded size, or a failure that states
 * whether any byte can have reached the peer.
 */
import {Agent} from 'node:http';
import type {Result} from 'neverthrow';
import type {z} from 'zod';
import type {Failure} from '../../base/common/failure.js';
import {readJson} from './http-responses.js';
import {exchange, type HttpResponse, type HttpCall} from './http-exchange.js';

/** Calls one peer. */
export type HttpClient = {
	/** Host and port of the peer, as failures name it. */
	readonly peer: string;
	/** Resolves with the complete response, whatever its status. */
	readonly call: (call: HttpCall) => Promise<Result<HttpResponse, Failure>>;
};

const keepAliveAgent = new Agent({keepAlive: true});
const singleUseAgent = new Agent({keepAlive: false});

/** Creates a client of the peer at a base URL. Connections are kept open and shared by all clients of the process. */
export function createHttpClient(url: string): HttpClient {
	const base = new URL(url);
	return {
		peer: base.host,
		async call(call) {
			const first = await exchange(call, {base, agent: call.connection === 'new' ? singleUseAgent : keepAliveAgent});
			const last = first.wasClosed && call.method === 'GET' ? await exchange(call, {base, agent: singleUseAgent}) : first;
			return last.result;
		},
	};
}

/** Calls the peer with a JSON body, if any, and reads a JSON response. */
export async function callJson<T>(client: HttpClient, call: Omit<HttpCall, 'body' | 'headers'> & {readonly json?: unknown}, schema: z.ZodType<T>): Promise<Result<T, Failure>> {
	const {json, ...rest} = call;
	const result = await client.call({...rest, ...(json !== undefined && {headers: {'content-type': 'application/json'}, body: JSON.stringify(json)})});
	return result.andThen(response => readJson(response, schema, call.step, client.peer));
}
