/** What callers of a hosted deployment ask for, in the product's terms. The platform's adapter implements the decoding. */
import type {IncomingHttpHeaders} from 'node:http';
import {createServiceKey} from '../../kernel/common/contribution.js';
import type {Batch, ResultPage} from '../../batches/common/batch.js';

/** A caller's request by what it asks for. */
export type CallerRequest
	= | {readonly type: 'batchRead'; readonly batchId: string; readonly after: number; readonly waitMs: number}
		| {readonly type: 'batchBody'; readonly batchId: string; readonly itemId: string}
		| {readonly type: 'batchEnd'; readonly batchId: string}
		| {readonly type: 'forward'; readonly requestId: string; readonly deadlineMs: number | undefined; readonly host: string};

/** The protocol to callers. */
export abstract class CallerProtocol {
	/** Lower-case names of headers that the gateway replaces when it passes a request on. */
	abstract readonly replacedHeaders: readonly string[];

	/** Name of the header that tells a refused caller when to come back, in seconds. */
	abstract readonly retryAfterHeader: string;

	/** Name of the header that carries the request's id. */
	abstract readonly requestIdHeader: string;

	/** Reads what a request asks for. */
	abstract readRequest(method: string, url: string, headers: IncomingHttpHeaders): CallerRequest;

	/** Reads a submitted batch; a text says what is wrong with it. */
	abstract readBatch(batchId: string, host: string, path: string, body: string): Batch | string;

	/** Renders a page of results. */
	abstract renderPage(page: ResultPage): string;

	/** Whether a request at the readiness address asks for readiness. */
	abstract isReadiness(method: string, url: string): boolean;
}

/** The daemon's protocol to callers. */
export const callerProtocolKey = createServiceKey<CallerProtocol>('caller-protocol');
