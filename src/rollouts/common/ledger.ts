/**
 * The ledger of a trainer: which steps are open and which groups are fixed in which batch. It is one small object in the
 * store without any text. What a batch contains is decided by the write that adds it here; sending comes afterwards, so
 * that asking again, through any owner, gives the same sample ids.
 *
 * All steps of a trainer share one object, because a removed object could be created anew by a late repetition of its
 * step, and its samples would be delivered twice.
 */
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {hashToHex} from '../../base/common/hash.js';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import {requiredGroups, type StepRequest} from './step.js';

const stepEntry = z.object({
	step: z.int().min(0),
	/** Digest of the request, to tell a repetition from another step of the same number. */
	digest: z.string(),
	groups: z.int().min(1),
	samplesPerGroup: z.int().min(1),
	/** Whole groups that end the step. */
	required: z.int().min(1),
	/** The groups of each batch fixed so far; batch numbers start at 1. */
	batches: z.array(z.array(z.int().min(0)).readonly()).readonly(),
}).readonly();

const schema = z.object({
	/** Fencing number of the owner that wrote last. */
	fencing: z.int().min(0),
	/** Steps up to this number are not kept any more and can't be posted again. */
	retiredThrough: z.int(),
	steps: z.array(stepEntry).readonly(),
}).readonly();

/** One step in the ledger. */
export type StepEntry = z.output<typeof stepEntry>;

/** The ledger of one trainer. */
export type Ledger = z.output<typeof schema>;

/** Steps that a ledger keeps: the present one, and one before or after it. */
const KEPT_STEPS = 2;

/** The ledger of a trainer that has not posted any step. */
export const emptyLedger: Ledger = {fencing: 0, retiredThrough: -1, steps: []};

/** Encodes a ledger for the store. */
export function encodeLedger(ledger: Ledger): string {
	return JSON.stringify(ledger);
}

/** Decodes a ledger from the store. */
export function decodeLedger(value: string): Ledger {
	return schema.parse(JSON.parse(value));
}

/** Returns the digest by which a repeated request is recognised. */
export function digestOf(request: StepRequest): string {
	const {prompts, samplesPerGroup, stalenessBound, enough, maximumTokens, weightVersion} = request;
	return hashToHex(JSON.stringify([prompts, samplesPerGroup, stalenessBound, enough, maximumTokens, weightVersion])).slice(0, 32);
}

/** Finds a step. */
export function findStep(ledger: Ledger, step: number): StepEntry | undefined {
	return ledger.steps.find(entry => entry.step === step);
}

/** Returns whether a step has handed out as many whole groups as end it. */
export function isClosed(entry: StepEntry): boolean {
	return entry.batches.flat().length >= entry.required;
}

/** Opens a step. Returns the same ledger when the step is open already; `conflict` when it is another or a retired one. */
export function openStep(ledger: Ledger, request: StepRequest): Result<Ledger, Failure> {
	const origin = {step: 'open step', peer: `${request.trainer}.${request.step}`};
	const digest = digestOf(request);
	const known = findStep(ledger, request.step);
	if (known !== undefined) {
		return known.digest === digest ? ok(ledger) : err(createNotRun('conflict', origin, 'another step of this number is open'));
	}

	const newest = ledger.steps.at(-1)?.step ?? ledger.retiredThrough;
	if (request.step <= newest) {
		return err(createNotRun('conflict', origin, `the trainer has already posted step ${newest}`));
	}

	const entry: StepEntry = {
		step: request.step,
		digest,
		groups: request.prompts.length,
		samplesPerGroup: request.samplesPerGroup,
		required: requiredGroups(request.prompts.length, request.enough ?? 1),
		batches: [],
	};
	const steps = [...ledger.steps, entry];
	const kept = steps.slice(-KEPT_STEPS);
	const retired = steps.slice(0, -KEPT_STEPS).at(-1)?.step ?? ledger.retiredThrough;
	return ok({...ledger, retiredThrough: Math.max(ledger.retiredThrough, retired), steps: kept});
}

/** Adds a batch to a step. The caller has made sure that the groups are in no batch yet. */
export function fixBatch(ledger: Ledger, step: number, groups: readonly number[]): Ledger {
	return {
		...ledger,
		steps: ledger.steps.map(entry => entry.step === step ? {...entry, batches: [...entry.batches, groups]} : entry),
	};
}
