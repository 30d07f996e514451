/** Claims as they are stored: the claims of a shard are a sequence of generations, each of which is one object. */
import {z} from 'zod';
import type {Outcome} from './claims.js';

const outcome = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('answer'), status: z.int(), contentType: z.string().optional(), body: z.string(),
	}),
	z.object({kind: z.literal('done'), status: z.int(), digest: z.string()}),
	z.object({kind: z.literal('unknown')}),
]);

const claimRecord = z.object({
	key: z.string(),
	bodyDigest: z.string(),
	claimId: z.string(),
	/** Wall-clock time of the claim, in milliseconds since the Unix epoch. */
	claimedAt: z.number(),
	/** Milliseconds for which the run may continue after the claim. */
	runForMs: z.number(),
	outcome: outcome.optional(),
	/** The request certainly did not run, and the key may be claimed again. */
	freed: z.literal(true).optional(),
});

const claimGeneration = z.object({
	/** A sealed generation is never written again; new records go to the next generation. */
	sealed: z.boolean(),
	records: z.array(claimRecord).readonly(),
});

/** A claim with its outcome. */
export type ClaimRecord = Omit<z.output<typeof claimRecord>, 'outcome'> & {readonly outcome?: Outcome | undefined};

/** The value of one stored object. */
export type ClaimGeneration = {
	readonly sealed: boolean;
	readonly records: readonly ClaimRecord[];
};

/** Parses the value of a claims object. Throws on a value that does not match the schema. */
export function parseGeneration(value: string): ClaimGeneration {
	const {sealed, records} = claimGeneration.parse(JSON.parse(value));
	return {sealed, records: records.map(record => ({...record, outcome: record.outcome && readOutcome(record.outcome)}))};
}

function readOutcome(parsed: z.output<typeof outcome>): Outcome {
	return parsed.kind === 'answer' ? {...parsed, contentType: parsed.contentType} : parsed;
}

/** Returns the object name of a generation. The index is padded so that the names of a shard sort by generation. */
export function generationName(shard: number, index: number): string {
	return `${generationPrefix(shard)}${String(index).padStart(8, '0')}`;
}

/** Returns the prefix of the object names of a shard's generations. */
export function generationPrefix(shard: number): string {
	return `shard-${String(shard).padStart(4, '0')}-`;
}

/** Parses the index of a generation from its object name. */
export function generationIndex(name: string): number {
	return Number(name.slice(name.lastIndexOf('-') + 1));
}
