/** Stand-in for the rate-limited weight store. Responds with 429 to a fetch beyond `concurrentFetches` at a time. */
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';
import {createStandin, type Reply, type Standin} from './standin-server.js';

const fetchBody = z.object({model: z.string(), version: z.int(), engine: z.string()});

/** Creates a stand-in for a weight store. */
export function createWeightStoreStandin(options: {
	/** Latest version by model, at the start. */
	readonly models: Readonly<Record<string, number>>;
	readonly concurrentFetches: number;
	readonly fetchMs: number;
}): Standin {
	const latest = new Map(Object.entries(options.models));
	const fetches: unknown[] = [];
	let activeFetches = 0;

	async function serveFetch(body: z.output<typeof fetchBody>): Promise<Reply> {
		if (body.version > (latest.get(body.model) ?? 0)) {
			return {status: 404, json: {code: 'notFound'}};
		}

		if (activeFetches >= options.concurrentFetches) {
			return {status: 429, headers: {'retry-after': '1'}, json: {code: 'overloaded'}};
		}

		activeFetches += 1;
		await sleep(options.fetchMs);
		activeFetches -= 1;
		fetches.push({...body, at: Date.now()});
		return {json: {}};
	}

	return createStandin({
		record: () => ({latest: Object.fromEntries(latest), fetches}),
		async handle(request) {
			if (request.route === 'POST /fetch') {
				return serveFetch(fetchBody.parse(JSON.parse(request.body)));
			}

			const [, model = '', , versionText] = request.pathSegments;
			if (request.raw.method === 'PUT') {
				latest.set(model, Math.max(latest.get(model) ?? 0, z.coerce.number().parse(versionText)));
			}

			const version = latest.get(model);
			return version === undefined ? {status: 404, json: {code: 'notFound'}} : {json: {model, version}};
		},
	});
}
