/**
 * A model of an engine in virtual time: continuous batching with a rate per stream that decreases as the batch grows,
 * prefill, a queue, weight loads that pause generation, and faults. The generated text contains the weight version of each
 * token, so that a checker can determine which version produced a sample without relying on the reported version labels.
 */
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, createOutcomeUnknown, type Failure} from '../src/base/common/failure.js';
import {hashToUint32} from '../src/base/common/hash.js';
import type {Loop} from '../src/kernel/common/loop.js';
import {
	Engine, type Chunk, type EngineOrder, type EngineStatus, type Generation, type GenerationRequest, type VersionRange,
} from '../src/adapters/common/engine.js';

export type EngineModelOptions = {
	readonly id: string;
	readonly loop: Loop;
	readonly models: readonly string[];
	readonly slots: number;
	/** Total tokens per second of a full batch. */
	readonly tokensPerSecond: number;
	/** Tokens per second of one stream in a small batch. */
	readonly streamTokensPerSecond: number;
	readonly prefillTokensPerSecond: number;
	readonly loadMs: number;
	readonly fencing: 'checked' | 'ignored';
	/** Returns the number of tokens that a prompt and seed generate. */
	readonly lengthOf: (prompt: string, seed: number) => number;
	readonly startVersion: number;
	/** Shared by all engines: loads become proportionally slower when more than `concurrentLoads` run at once. */
	readonly weightStore?: {activeLoads: number; readonly concurrentLoads: number};
};

/** The result of the next load; `unexpected` installs a version other than the ordered one. */
export type LoadFault = 'none' | 'fails' | 'unexpected';

type Stream = {
	readonly request: GenerationRequest;
	readonly length: number;
	readonly onChunk: (chunk: Chunk) => void;
	readonly finish: (result: Result<Generation, Failure>) => void;
	readonly ranges: VersionRange[];
	text: string;
	tokens: number;
	credit: number;
	prefillMs: number;
};

/** The state of an engine at one point in time. */
export type EngineCondition = {
	readonly isLoading: boolean;
	/** Available share of its healthy rate; 0 while the engine is down. */
	readonly speed: number;
	/** Share of its rate that the running streams of each model use. */
	readonly used: ReadonlyMap<string, number>;
};

export type EngineModel = {
	readonly engine: Engine;
	readonly id: string;
	readonly crash: (downMs: number) => void;
	/** Sets the factor of the token rate: 1 is healthy, 0 stalls generation. */
	readonly setSpeed: (factor: number) => void;
	readonly setLoadFault: (fault: LoadFault) => void;
	/** Sets whether the engine reports the weight versions of its tokens. */
	readonly setReportsVersions: (isLabelling: boolean) => void;
	readonly version: (model: string) => number;
	readonly generatedTokens: () => number;
	readonly receivedOrders: () => readonly EngineOrder[];
	readonly condition: () => EngineCondition;
};

const TICK_MS = 200;
const CHARACTERS_PER_TOKEN = 4;

/** Returns the text of one token, which contains its weight version. */
export function spellToken(version: number): string {
	return `${version};`;
}

/** Creates heavy-tailed lengths in tokens: most groups are short, a few are long, and lengths vary within a group. */
export function createLengthDistribution(mean: number, maximum: number): (prompt: string, seed: number) => number {
	const uniform = (text: string) => (hashToUint32(text) + 0.5) / 4_294_967_296;
	return (prompt, seed) => {
		const groupFactor = Math.exp(0.6 * Math.sqrt(2) * Math.log(1 / (1 - uniform(prompt))) * 0.7);
		const sampleFactor = 0.5 + uniform(`${prompt}/${seed}`);
		return Math.max(1, Math.min(maximum, Math.round(mean * 0.6 * groupFactor * sampleFactor)));
	};
}

export function createEngineModel(options: EngineModelOptions): EngineModel {
	const {loop, id} = options;
	const streams: Stream[] = [];
	const versions = new Map(options.models.map(model => [model, options.startVersion]));
	const failed = new Set<string>();
	const orders: EngineOrder[] = [];
	let loading: string | undefined;
	let fencing = 0;
	let speed = 1;
	let isDown = false;
	let isLabelling = true;
	let isTicking = false;
	let loadFault: LoadFault = 'none';
	let generated = 0;
	let epoch = 0;

	function generateTokens(stream: Stream, rate: number): void {
		if (stream.prefillMs > 0) {
			stream.prefillMs -= TICK_MS * speed;
			return;
		}

		stream.credit += rate * TICK_MS / 1000;
		const tokens = Math.min(Math.floor(stream.credit), stream.length - stream.tokens);
		if (tokens <= 0) {
			return;
		}

		const version = versions.get(stream.request.model) ?? 0;
		const text = spellToken(version).repeat(tokens);
		stream.ranges.push({version, from: stream.tokens, to: stream.tokens + tokens});
		stream.credit -= tokens;
		stream.tokens += tokens;
		stream.text += text;
		generated += tokens;
		stream.onChunk({text, tokens, version: isLabelling ? version : undefined});
	}

	function finishCompletedStreams(): void {
		streams.filter(stream => stream.tokens >= stream.length).forEach(stream => {
			streams.splice(streams.indexOf(stream), 1);
			stream.finish(ok({
				requestId: stream.request.requestId, text: stream.text, tokens: stream.tokens, ranges: isLabelling ? stream.ranges : undefined, finish: 'stop',
			}));
		});
	}

	function tick(): void {
		isTicking = false;
		const running = streams.slice(0, options.slots);
		const rate = speed * Math.min(options.streamTokensPerSecond, options.tokensPerSecond / Math.max(1, running.length));
		if (loading === undefined) {
			running.forEach(stream => {
				generateTokens(stream, rate);
			});
			finishCompletedStreams();
		}

		scheduleTick();
	}

	function scheduleTick(): void {
		if (isTicking || streams.length === 0) {
			return;
		}

		isTicking = true;
		loop.after(TICK_MS, tick);
	}

	function failAllStreams(): void {
		streams.splice(0).forEach(stream => {
			stream.finish(err(createOutcomeUnknown('incomplete', {step: 'generate', peer: id}, 'the engine crashed')));
		});
	}

	function endLoad(order: EngineOrder, startEpoch: number): void {
		if (options.weightStore !== undefined) {
			options.weightStore.activeLoads -= 1;
		}

		if (startEpoch !== epoch) {
			return;
		}

		loading = undefined;
		if (loadFault === 'fails') {
			failed.add(order.model);
		} else {
			versions.set(order.model, loadFault === 'unexpected' ? Math.max(1, order.version - 3) : order.version);
			failed.delete(order.model);
		}

		loadFault = 'none';
	}

	function beginLoad(order: EngineOrder): void {
		const startEpoch = epoch;
		const store = options.weightStore;
		loading = order.model;
		const slowdown = store === undefined ? 1 : Math.max(1, (store.activeLoads + 1) / store.concurrentLoads);
		if (store !== undefined) {
			store.activeLoads += 1;
		}

		loop.after(options.loadMs * slowdown, () => {
			endLoad(order, startEpoch);
		});
	}

	const status = (): EngineStatus => ({
		fencing,
		models: [...versions].map(([model, version]) => {
			const state = failed.has(model) ? 'failed' : 'serving';
			return {model, version, state: loading === model ? 'loading' : state};
		}),
	});

	const createDownFailure = (step: string) => err(createNotRun('unavailable', {step, peer: id}, 'the engine is down'));

	const engine = new (class extends Engine {
		override async generate(request: GenerationRequest, onChunk: (chunk: Chunk) => void, signal: AbortSignal): Promise<Result<Generation, Failure>> {
			if (isDown || signal.aborted) {
				return createDownFailure('generate');
			}

			return new Promise(resolve => {
				const promptTokens = (request.prompt.length / CHARACTERS_PER_TOKEN) + (request.resumeFrom?.tokens ?? 0);
				const stream: Stream = {
					request,
					onChunk,
					finish: resolve,
					length: Math.max(options.lengthOf(request.prompt, request.seed), (request.resumeFrom?.tokens ?? 0) + 1),
					ranges: [...request.resumeFrom?.ranges ?? []],
					text: request.resumeFrom?.text ?? '',
					tokens: request.resumeFrom?.tokens ?? 0,
					credit: 0,
					prefillMs: promptTokens * 1000 / options.prefillTokensPerSecond,
				};
				streams.push(stream);
				signal.addEventListener('abort', () => {
					const index = streams.indexOf(stream);
					if (index !== -1) {
						streams.splice(index, 1);
						resolve(err(createOutcomeUnknown('aborted', {step: 'generate', peer: id}, 'cancelled')));
					}
				});
				scheduleTick();
			});
		}

		override async load() {
			return ok({
				running: Math.min(streams.length, options.slots), queued: Math.max(0, streams.length - options.slots), slots: options.slots, tokensPerSecond: options.tokensPerSecond, ageMs: 0,
			});
		}

		override async status(): Promise<Result<EngineStatus, Failure>> {
			return isDown ? createDownFailure('read status') : ok(status());
		}

		override async order(order: EngineOrder): Promise<Result<EngineStatus, Failure>> {
			if (isDown) {
				return createDownFailure('order');
			}

			if (options.fencing === 'checked' && order.fencing < fencing) {
				return err(createNotRun('fenced', {step: 'order', peer: id}, `fencing number ${fencing} was accepted before`));
			}

			fencing = options.fencing === 'checked' ? order.fencing : 0;
			if (loading === undefined && !orders.some(earlier => earlier.orderId === order.orderId)) {
				beginLoad(order);
			}

			orders.push(order);
			return ok(status());
		}
	})();

	return {
		engine,
		id,
		crash(downMs) {
			epoch += 1;
			isDown = true;
			loading = undefined;
			failAllStreams();
			loop.after(downMs, () => {
				isDown = false;
			});
		},
		setSpeed(factor) {
			speed = factor;
		},
		setLoadFault(fault) {
			loadFault = fault;
		},
		setReportsVersions(value) {
			isLabelling = value;
		},
		version: model => versions.get(model) ?? 0,
		generatedTokens: () => generated,
		receivedOrders: () => orders,
		condition() {
			const running = streams.slice(0, options.slots);
			const perStream = Math.min(options.streamTokensPerSecond / options.tokensPerSecond, 1 / Math.max(1, running.length));
			return {
				isLoading: loading !== undefined,
				speed: isDown ? 0 : speed,
				used: new Map(options.models.map(model => [model, perStream * running.filter(stream => stream.request.model === model).length])),
			};
		},
	};
}
