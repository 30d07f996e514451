/** Answers `GET /explain?host=H&path=P` at the metrics address. */
import type {IncomingHttpHeaders} from 'node:http';
import {computeFingerprint} from '../../gateway/common/request-fingerprint.js';
import type {JsonHandler} from '../../kernel/node/prometheus-metrics.js';
import type {Explainer} from '../common/explanation.js';

/** Methods of requests without a body, whose fingerprint can be computed here. */
const BODILESS_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD']);
const KEY_PREFIX = 'Token ';

/** The key is taken from a header, as paths with their queries end up in logs of proxies. */
function readKey({authorization}: IncomingHttpHeaders): string | undefined {
	return authorization?.startsWith(KEY_PREFIX) === true ? authorization.slice(KEY_PREFIX.length) : undefined;
}

/** Creates the handler. A request without host or path is malformed. */
export function createExplainHandler(explain: Explainer): JsonHandler {
	return ({searchParams}, headers) => {
		const host = searchParams.get('host');
		const path = searchParams.get('path');
		if (host === null || path?.startsWith('/') !== true) {
			return undefined;
		}

		const method = searchParams.get('method') ?? 'GET';
		const {authorization} = headers;
		const fingerprint = BODILESS_METHODS.has(method)
			? computeFingerprint({
				method, path, headers: {host, ...(authorization !== undefined && {authorization})}, body: undefined,
			})
			: undefined;
		return explain({
			host, path, method, key: readKey(headers), fingerprint: searchParams.get('fingerprint') ?? fingerprint, batchId: searchParams.get('batch') ?? undefined,
		});
	};
}
