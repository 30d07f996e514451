/** Claims as they are kept in the store: a shard's claims lie in a row of generations, each one object. */
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
	/** Wall time of the claim. */
	claimedAt: z.number(),
	/** Time for which the run may go on. */
	runForMs: z.number(),
	outcome: outcome.optional(),
	/** The run certainly did not take place, and the key may be claimed again. */
	freed: z.literal(true).optional(),
});

const claimGeneration = z.object({
	/** A sealed generation is never written again, and the next one takes its place. */
	sealed: z.boolean(),
	records: z.array(claimRecord).readonly(),
});

/** A claim with its outcome. */
export type ClaimRecord = Omit<z.output<typeof claimRecord>, 'outcome'> & {readonly outcome?: Outcome | undefined};

/** The value of one object. */
export type ClaimGeneration = {
	readonly sealed: boolean;
	readonly records: readonly ClaimRecord[];
};

/** Reads the value of a claims object. Throws on a value that this system did not write. */
export function parseGeneration(value: string): ClaimGeneration {
	const {sealed, records} = claimGeneration.parse(JSON.parse(value));
	return {sealed, records: records.map(record => ({...record, outcome: record.outcome && readOutcome(record.outcome)}))};
}

function readOutcome(parsed: z.output<typeof outcome>): Outcome {
	return parsed.kind === 'answer' ? {...parsed, contentType: parsed.contentType} : parsed;
}

/** Names the object of a generation so that the names of a shard sort by generation. */
export function generationName(shard: number, index: number): string {
	return `${generationPrefix(shard)}${String(index).padStart(8, '0')}`;
}

/** The prefix of all generations of a shard. */
export function generationPrefix(shard: number): string {
	return `shard-${String(shard).padStart(4, '0')}-`;
}

/** Reads the generation's index from its name. */
export function generationIndex(name: string): number {
	return Number(name.slice(name.lastIndexOf('-') + 1));
}
