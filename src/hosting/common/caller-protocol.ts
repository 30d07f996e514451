/** Protocol between callers of a hosted deployment and daemons, independent of its encoding. The platform's adapter implements it. */
import type {IncomingHttpHeaders} from 'node:http';
import {createServiceKey} from '../../kernel/common/contribution.js';
import type {Batch, ResultPage} from '../../batches/common/batch.js';
import type {Resumption} from '../../gateway/common/stream-origin.js';
import type {Credentials} from '../../organisations/common/authorization.js';

/** A decoded request of a caller. */
export type CallerRequest
	/** A request whose path cannot be decoded. */
	= | {readonly type: 'malformed'}
		| {readonly type: 'batchRead'; readonly batchId: string; readonly after: number; readonly waitMs: number}
		| {readonly type: 'batchBody'; readonly batchId: string; readonly itemId: string}
		| {readonly type: 'batchEnd'; readonly batchId: string}
		| {readonly type: 'forward'; readonly requestId: string; readonly deadlineMs: number | undefined; readonly host: string; readonly resumption?: Resumption};

/** The protocol to callers. */
export abstract class CallerProtocol {
	/** Lower-case names of headers that the gateway replaces when it forwards a request. */
	abstract readonly replacedHeaders: readonly string[];

	/** Name of the header that tells a refused caller after how many seconds to retry. */
	abstract readonly retryAfterHeader: string;

	/** Name of the header that carries the request's id. */
	abstract readonly requestIdHeader: string;

	/** Lower-case names of the headers that state who calls. They are withheld from servers where organisations have keys. */
	abstract readonly credentialHeaders: readonly string[];

	/** Headers of a response that asks the caller for a key. */
	abstract readonly challengeHeaders: Readonly<Record<string, string>>;

	/** Decodes the key of a request from the names and values of its headers by turns. */
	abstract readCredentials(rawHeaders: readonly string[]): Credentials;

	/** Builds the headers that tell a server the organisation of a request. */
	abstract buildOrganisationHeaders(organisation: string): Readonly<Record<string, string>>;

	/** The id of a request; empty when it has none that can be sent back. */
	abstract readRequestId(headers: IncomingHttpHeaders): string;

	/** Decodes a request from its method, URL and headers. */
	abstract readRequest(method: string, url: string, headers: IncomingHttpHeaders): CallerRequest;

	/** Decodes a submitted batch; a returned string describes why it is invalid. */
	abstract readBatch(batchId: string, host: string, path: string, body: string): Batch | string;

	/** Renders a page of results. */
	abstract renderPage(page: ResultPage): string;

	/** Whether a request at the readiness address is a readiness check. */
	abstract isReadiness(method: string, url: string): boolean;
}

/** Service key of the daemon's protocol to callers. */
export const callerProtocolKey = createServiceKey<CallerProtocol>('caller-protocol');
