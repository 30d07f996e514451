/** Stand-in for a trainer: posts a step, pulls its samples by cursor, and publishes new weights on the way. */
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';
import {readText} from '../../adapters/node/http-answers.js';
import {createHttpClient} from '../../adapters/node/http-client.js';
import type {HttpAnswer} from '../../adapters/node/http-exchange.js';

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

/** A batch as the trainer received it, with the weight version that it had named in the pull. */
export type ReceivedBatch = z.output<typeof batchBody> & {readonly weightVersion: number};

/** One step as the trainer runs it. */
export type TrainerStep = {
	readonly step: number;
	readonly weightVersion: number;
	readonly prompts: readonly string[];
	readonly samplesPerGroup: number;
	readonly maximumTokens: number;
	readonly stalenessBound?: number;
	readonly enough?: number;
	readonly deadlineMs?: number;
	/** Publishes a version once so many samples have come. */
	readonly publish?: {readonly afterSamples: number; readonly version: number};
	/** Gives up after so long. */
	readonly limitMs: number;
};

/** What the trainer saw of a step. */
export type TrainerRecord = {
	readonly step: TrainerStep;
	readonly batches: readonly ReceivedBatch[];
	readonly done: boolean;
	readonly errors: readonly string[];
	/** Time spent waiting for samples. */
	readonly idleMs: number;
};

const PULL_WAIT_MS = 1000;
const CALL_TIMEOUT_MS = 10_000;
const RETRY_MS = 100;

/** Creates a trainer that turns to the next daemon after each failure. */
export function createTrainerStandin(options: {
	readonly daemonUrls: readonly string[];
	readonly apiKey: string;
	readonly trainer: string;
	readonly model: string;
	readonly weightStoreUrl: string;
}): {readonly runStep: (step: TrainerStep) => Promise<TrainerRecord>} {
	const clients = options.daemonUrls.map(url => createHttpClient(url));
	const weightStore = createHttpClient(options.weightStoreUrl);
	let turn = 0;

	async function post(path: string, json: unknown): Promise<HttpAnswer | string> {
		const client = clients[turn % clients.length];
		const answer = await client?.call({
			step: 'call daemon',
			method: 'POST',
			path: `/v1/trainers/${options.trainer}${path}`,
			headers: {'content-type': 'application/json', authorization: `Bearer ${options.apiKey}`},
			body: JSON.stringify(json),
			timeoutMs: CALL_TIMEOUT_MS,
		});
		if (answer?.isOk() && answer.value.status < 300) {
			return answer.value;
		}

		turn += 1;
		const said = answer?.match(refused => `${refused.status} ${readText(refused)}`, failure => failure.message);
		return `${path} ${client?.peer}: ${said}`;
	}

	async function runStep(step: TrainerStep): Promise<TrainerRecord> {
		const until = Date.now() + step.limitMs;
		const batches: ReceivedBatch[] = [];
		const errors: string[] = [];
		const {publish, limitMs, ...stepBody} = step;
		let {weightVersion} = step;
		let posted = false;
		let idleMs = 0;

		async function attempt(path: string, json: unknown): Promise<HttpAnswer | undefined> {
			const answer = await post(path, json);
			if (typeof answer !== 'string') {
				return answer;
			}

			errors.push(answer);
			// A daemon that does not know the step is told again; the same body is harmless.
			posted &&= !answer.includes('notFound');
			await sleep(RETRY_MS);
			return undefined;
		}

		async function publishIfDue(): Promise<void> {
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
			const answer = await attempt('/pulls', {
				step: step.step, cursor, weightVersion, waitMs: PULL_WAIT_MS,
			});
			idleMs += Date.now() - startedAt;
			const batch = answer && batchBody.parse(JSON.parse(readText(answer)));
			if (batch && (batch.batch !== cursor || batch.done)) {
				batches.push({...batch, weightVersion});
			}
		}

		async function advance(): Promise<void> {
			const done = batches.at(-1)?.done ?? false;
			if (done || Date.now() > until) {
				return;
			}

			if (posted) {
				await pull();
				if (weightVersion === step.weightVersion) {
					await publishIfDue();
				}
			} else {
				// Engines are brought to published versions only, so the present one is published first; repeating that is harmless.
				posted = await attempt('/weights', {version: weightVersion}) !== undefined && await attempt('/steps', stepBody) !== undefined;
			}

			await advance();
		}

		await advance();
		return {
			step, batches, done: batches.at(-1)?.done ?? false, errors, idleMs,
		};
	}

	return {runStep};
}
