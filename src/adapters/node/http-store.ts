/** The object API over HTTP. A watch is a repeated long poll, which retries after failures. */
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import type {Disposable} from '../../base/common/disposable.js';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import {jitter, type Random} from '../../base/common/random.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {RemotePeer} from '../common/adapters.js';
import {
	Store, type ConditionalRemoval, type ConditionalWrite, type ObjectId, type ObjectKind, type StoredObject,
} from '../common/store.js';
import {readJson, readText, isNotRunResponse} from './http-responses.js';
import {callJson, createHttpClient} from './http-client.js';
import type {HttpResponse} from './http-exchange.js';

const objectKind = z.enum(['config', 'lease', 'claims', 'grants', 'ledger', 'weights', 'suspects', 'audit', 'status']);

const storedObject = z.object({
	kind: objectKind,
	name: z.string(),
	version: z.int(),
	value: z.string(),
	writeId: z.object({writer: z.string(), sequence: z.string()}),
});

const changes = z.object({version: z.int(), objects: z.array(storedObject)});

/** Time limit of a long poll; the store responds earlier when there is no change. */
const WATCH_TIMEOUT_MS = 30_000;
const WATCH_RETRY_MS = 500;
const WATCH_RETRY_MAXIMUM_MS = 8000;
const WATCH_RETRY_JITTER = 0.5;

/** Maps every transport failure to `unavailable`, the code that users of the store expect. */
function toStoreFailure(failure: Failure): Failure {
	const isTransportFailure = failure.code === 'overloaded' || failure.code === 'incomplete' || failure.code === 'aborted';
	return isTransportFailure ? {...failure, code: 'unavailable'} : failure;
}

function pathOf(id: ObjectId): string {
	return `/objects/${id.kind}/${encodeURIComponent(id.name)}`;
}

/** Creates the store at a peer. */
export function createHttpStore(remote: RemotePeer, loop: Loop, random: Random): Store {
	const client = createHttpClient(remote.url);
	const {timeoutMs} = remote;

	function readWriteResponse<T>(response: HttpResponse, schema: z.ZodType<T>, step: string): Result<T, Failure> {
		const origin = {step, peer: client.peer};
		if (response.status === 409) {
			return err(createNotRun('conflict', origin, readText(response)));
		}

		if (response.status === 413) {
			return err(createNotRun('invalid', origin, 'the value is too large'));
		}

		return isNotRunResponse(response)
			? err(createNotRun('unavailable', origin, 'the store is unavailable'))
			: readJson(response, schema, step, client.peer);
	}

	function startWatch(kind: ObjectKind, listener: (object: StoredObject) => void): Disposable {
		const abortController = new AbortController();
		let after: number | undefined;
		let retryMs = WATCH_RETRY_MS;

		async function poll(): Promise<void> {
			const query = after === undefined ? '' : `?after=${after}`;
			const polled = await callJson(client, {
				step: 'watch objects', method: 'GET', path: `/watch/${kind}${query}`, timeoutMs: WATCH_TIMEOUT_MS, signal: abortController.signal,
			}, changes);
			if (polled.isErr()) {
				await loop.sleep(jitter(retryMs, WATCH_RETRY_JITTER, random));
				retryMs = Math.min(2 * retryMs, WATCH_RETRY_MAXIMUM_MS);
				return;
			}

			retryMs = WATCH_RETRY_MS;
			after = polled.value.version;
			polled.value.objects.forEach(object => {
				if (!abortController.signal.aborted) {
					listener(object);
				}
			});
		}

		async function run(): Promise<void> {
			if (abortController.signal.aborted) {
				return;
			}

			await poll();
			void run();
		}

		void run();
		return {
			dispose() {
				abortController.abort();
			},
		};
	}

	return new (class extends Store {
		override async read(id: ObjectId) {
			const step = 'read object';
			const result = await client.call({
				step, method: 'GET', path: pathOf(id), timeoutMs,
			});
			return result
				.andThen((response): Result<StoredObject | undefined, Failure> => (response.status === 404 ? ok(undefined) : readJson(response, storedObject, step, client.peer)))
				.mapErr(toStoreFailure);
		}

		override async write(write: ConditionalWrite) {
			const {value, ifVersion, writeId} = write;
			const result = await client.call({
				step: 'write object',
				method: 'PUT',
				path: pathOf(write),
				headers: {'content-type': 'application/json'},
				body: JSON.stringify({value, ifVersion, writeId}),
				timeoutMs,
			});
			return result.andThen(response => readWriteResponse(response, storedObject, 'write object')).mapErr(toStoreFailure);
		}

		override async remove(removal: ConditionalRemoval) {
			const result = await client.call({
				step: 'remove object', method: 'DELETE', path: `${pathOf(removal)}?ifVersion=${removal.ifVersion}`, timeoutMs,
			});
			return result.andThen(response => readWriteResponse(response, z.unknown(), 'remove object')).map(() => undefined).mapErr(toStoreFailure);
		}

		override async list(kind: ObjectKind, prefix: string) {
			const listed = await callJson(client, {
				step: 'list objects', method: 'GET', path: `/objects/${kind}?prefix=${encodeURIComponent(prefix)}`, timeoutMs,
			}, z.object({objects: z.array(storedObject)}));
			return listed.map(page => page.objects).mapErr(toStoreFailure);
		}

		override watch(kind: ObjectKind, listener: (object: StoredObject) => void): Disposable {
			return startWatch(kind, listener);
		}
	})();
}
