/** The weight store over HTTP. */
import {ok, type Result} from 'neverthrow';
import {z} from 'zod';
import type {Failure} from '../../base/common/failure.js';
import type {RemotePeer} from '../common/adapters.js';
import {WeightStore, type WeightVersion} from '../common/weight-store.js';
import {readJson} from './http-responses.js';
import {createHttpClient} from './http-client.js';

const weightVersion = z.object({model: z.string(), version: z.int()});

/** Creates the weight store at a peer. */
export function createHttpWeightStore(remote: RemotePeer): WeightStore {
	const client = createHttpClient(remote.url);
	return new (class extends WeightStore {
		override async latest(model: string) {
			const step = 'read latest weights';
			const result = await client.call({
				step, method: 'GET', path: `/models/${encodeURIComponent(model)}/latest`, timeoutMs: remote.timeoutMs,
			});
			return result.andThen((response): Result<WeightVersion | undefined, Failure> => (
				response.status === 404 ? ok(undefined) : readJson(response, weightVersion, step, client.peer)
			));
		}
	})();
}
