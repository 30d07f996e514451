/** Assembles the events of one stream into a generation, and checks that the generation is complete. */
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {createOutcomeUnknown, type Failure, type Origin} from '../../base/common/failure.js';
import type {
	Chunk, Generation, GenerationRequest, VersionRange,
} from '../common/engine.js';

const eventFields = {
	requestId: z.string(),
	model: z.string(),
	text: z.string(),
	tokens: z.int().min(0),
	version: z.int().nullish(),
};

const chunkEvent = z.object(eventFields);
const endEvent = z.object({...eventFields, finish: z.enum(['stop', 'length'])});

/** Accepts the events of a stream in order. */
export type GenerationAssembler = {
	/** Processes one event and returns its chunk; undefined for other events and for chunks of other requests. */
	readonly accept: (name: string, data: string) => Chunk | undefined;
	/** Returns the generation after the stream has ended; fails with `incomplete` when a part is missing. */
	readonly finish: () => Result<Generation, Failure>;
};

function parse<T>(schema: z.ZodType<T>, data: string): T | undefined {
	try {
		return schema.safeParse(JSON.parse(data)).data;
	} catch {
		return undefined;
	}
}

/** Appends tokens of one version, extending the last range if it has the same version. */
export function appendRange(ranges: readonly VersionRange[], version: number, tokens: number): readonly VersionRange[] {
	const last = ranges.at(-1);
	const from = last?.to ?? 0;
	const to = from + tokens;
	return last?.version === version
		? [...ranges.slice(0, -1), {version, from: last.from, to}]
		: [...ranges, {version, from, to}];
}

/** Creates an assembler for the stream of a request. */
export function createGenerationAssembler(request: GenerationRequest, origin: Origin): GenerationAssembler {
	let text = request.resumeFrom?.text ?? '';
	let tokens = request.resumeFrom?.tokens ?? 0;
	let ranges: readonly VersionRange[] | undefined = request.resumeFrom?.ranges ?? [];
	let end: z.output<typeof endEvent> | undefined;

	function matchesRequest(event: {readonly requestId: string; readonly model: string}): boolean {
		return event.requestId === request.requestId && event.model === request.model;
	}

	function acceptChunk(data: string): Chunk | undefined {
		const event = parse(chunkEvent, data);
		if (event === undefined || !matchesRequest(event) || end !== undefined) {
			return undefined;
		}

		const version = event.version ?? undefined;
		text += event.text;
		tokens += event.tokens;
		ranges = ranges && version !== undefined ? appendRange(ranges, version, event.tokens) : undefined;
		return {text: event.text, tokens: event.tokens, version};
	}

	function acceptEnd(data: string): void {
		const event = parse(endEvent, data);
		if (event !== undefined && matchesRequest(event)) {
			end ??= event;
		}
	}

	return {
		accept(name, data) {
			if (name === 'chunk') {
				return acceptChunk(data);
			}

			if (name === 'end') {
				acceptEnd(data);
			}

			return undefined;
		},
		finish() {
			if (end === undefined) {
				return err(createOutcomeUnknown('incomplete', origin, 'the stream ended without its end event'));
			}

			return end.text === text && end.tokens === tokens
				? ok({
					requestId: request.requestId, text, tokens, ranges, finish: end.finish,
				})
				: err(createOutcomeUnknown('incomplete', origin, `the stream contained ${tokens} of ${end.tokens} tokens, or its text differs from that of its end event`));
		},
	};
}
