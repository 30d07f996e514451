/** Identifies the content of a request, so that it is recognized when its caller sends it again under another id. */
import {createHash} from 'node:crypto';

/** The parts of a request that stay the same when it is sent again. */
export type RequestContent = {
	readonly method: string;
	/** Path with query. */
	readonly path: string;
	readonly headers: Readonly<Record<string, string | readonly string[]>>;
	readonly body: Uint8Array | undefined;
	/** Name of the organisation; undefined where callers are told apart by their headers alone. */
	readonly organisation?: string | undefined;
};

/** Headers that identify the addressed host and the caller. Others may change when the request is sent again. */
const IDENTIFYING_HEADERS: ReadonlySet<string> = new Set(['host', 'authorization', 'cookie']);
/** Length of a fingerprint in hexadecimal digits; 128 bits. */
const FINGERPRINT_LENGTH = 32;

/** Computes the fingerprint of a request. */
export function computeFingerprint({method, path, headers, body, organisation}: RequestContent): string {
	const identity = Object.entries(headers)
		.map(([name, value]) => [name.toLowerCase(), value] as const)
		.filter(([name]) => IDENTIFYING_HEADERS.has(name))
		.toSorted(([a], [b]) => (a < b ? -1 : 1));
	return createHash('sha256')
		.update(JSON.stringify([method, path, identity, ...(organisation === undefined ? [] : [organisation])]))
		.update(body ?? '')
		.digest('hex')
		.slice(0, FINGERPRINT_LENGTH);
}
