/** Stand-in for a trainer: posts a step, pulls its samples by cursor, and publishes new weights during the step. */
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';
import {readText} from '../../adapters/node/http-responses.js';
import {createHttpClient} from '../../adapters/node/http-client.js';
import type {HttpResponse} from '../../adapters/node/http-exchange.js';

const sample = z.object({
	id: z.string(),
	group: z.union([z.number(), z.string()]),
	text: z.string(),
	tokens: z.int(),
	score: z.number().optional(),
	versions: z.array(z.object({version: z.int(), from: z.int(), to: z.int()})),
	oldestVersion: z.int(),
});
const batchBody = z.object({
	step: z.int(), batch: z.int(), samples: z.array(sample), done: z.boolean(),
});

/** A sample as the trainer received it. */
export type ReceivedSample = z.output<typeof sample>;

/** A batch as the trainer received it, with the weight version that the trainer sent in the pull. */
export type ReceivedBatch = z.output<typeof batchBody> & {readonly weightVersion: number};

/** Parameters of one step. */
export type TrainerStep = {
	readonly step: number;
	readonly weightVersion: number;
	readonly prompts: readonly string[];
	readonly samplesPerGroup: number;
	readonly maximumTokens: number;
	readonly stalenessBound?: number;
	readonly enough?: number;
	readonly deadlineMs?: number;
	/** Publishes the version once `afterSamples` samples have been received. */
	readonly publish?: {readonly afterSamples: number; readonly version: number};
	/** Time after which the trainer ends the step even if it is not done. */
	readonly limitMs: number;
};

/** Record of a step from the trainer's side. */
export type TrainerRecord = {
	readonly step: TrainerStep;
	readonly batches: readonly ReceivedBatch[];
	readonly done: boolean;
	readonly errors: readonly string[];
	/** Time spent waiting for samples, in milliseconds. */
	readonly idleMs: number;
};

const PULL_WAIT_MS = 1000;
const CALL_TIMEOUT_MS = 10_000;
const RETRY_DELAY_MS = 100;

/** Creates a stand-in for a trainer, which switches to the next daemon after each failed call. */
export function createTrainerStandin(options: {
	readonly daemonUrls: readonly string[];
	readonly apiKey: string;
	readonly trainer: string;
	readonly model: string;
	readonly weightStoreUrl: string;
}): {readonly runStep: (step: TrainerStep) => Promise<TrainerRecord>} {
	const clients = options.daemonUrls.map(url => createHttpClient(url));
	const weightStore = createHttpClient(options.weightStoreUrl);
	let clientIndex = 0;

	async function post(path: string, json: unknown): Promise<HttpResponse | string> {
		const client = clients[clientIndex % clients.length];
		const response = await client?.call({
			step: 'call daemon',
			method: 'POST',
			path: `/v1/trainers/${options.trainer}${path}`,
			headers: {'content-type': 'application/json', authorization: `Bearer ${options.apiKey}`},
			body: JSON.stringify(json),
			timeoutMs: CALL_TIMEOUT_MS,
		});
		if (response?.isOk() && response.value.status < 300) {
			return response.value;
		}

		clientIndex += 1;
		const errorText = response?.match(rejected => `${rejected.status} ${readText(rejected)}`, failure => failure.message);
		return `${path} ${client?.peer}: ${errorText}`;
	}

	async function runStep(step: TrainerStep): Promise<TrainerRecord> {
		const deadline = Date.now() + step.limitMs;
		const batches: ReceivedBatch[] = [];
		const errors: string[] = [];
		const {publish, limitMs, ...stepBody} = step;
		let {weightVersion} = step;
		let isStepPosted = false;
		let idleMs = 0;

		async function attempt(path: string, json: unknown): Promise<HttpResponse | undefined> {
			const response = await post(path, json);
			if (typeof response !== 'string') {
				return response;
			}

			errors.push(response);
			// If the daemon does not know the step, posts the step again; posting the same body again has no further effect.
			isStepPosted &&= !response.includes('notFound');
			await sleep(RETRY_DELAY_MS);
			return undefined;
		}

		async function publishWeightsIfDue(): Promise<void> {
			const received = batches.reduce((sum, batch) => sum + batch.samples.length, 0);
			if (publish === undefined || received < publish.afterSamples) {
				return;
			}

			const uploaded = await weightStore.call({
				step: 'upload weights', method: 'PUT', path: `/models/${options.model}/versions/${publish.version}`, timeoutMs: CALL_TIMEOUT_MS,
			});
			if (uploaded.isOk() && uploaded.value.status === 200 && await attempt('/weights', {version: publish.version})) {
				weightVersion = publish.version;
			}
		}

		async function pull(): Promise<void> {
			const cursor = batches.at(-1)?.batch ?? 0;
			const startedAt = Date.now();
			const response = await attempt('/pulls', {
				step: step.step, cursor, weightVersion, waitMs: PULL_WAIT_MS,
			});
			idleMs += Date.now() - startedAt;
			const batch = response && batchBody.parse(JSON.parse(readText(response)));
			if (batch && (batch.batch !== cursor || batch.done)) {
				batches.push({...batch, weightVersion});
			}
		}

		async function continueStep(): Promise<void> {
			const done = batches.at(-1)?.done ?? false;
			if (done || Date.now() > deadline) {
				return;
			}

			if (isStepPosted) {
				await pull();
				if (weightVersion === step.weightVersion) {
					await publishWeightsIfDue();
				}
			} else {
				// Engines are only moved to published versions, so publishes the current version first; publishing it again has no further effect.
				isStepPosted = await attempt('/weights', {version: weightVersion}) !== undefined && await attempt('/steps', stepBody) !== undefined;
			}

			await continueStep();
		}

		await continueStep();
		return {
			step, batches, done: batches.at(-1)?.done ?? false, errors, idleMs,
		};
	}

	return {runStep};
}
