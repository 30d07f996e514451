/**
 * The ledger of a trainer: its open steps, and the groups assigned to each batch. It is one small object in the store and
 * contains no sample text. The write that adds a batch to the ledger decides its content. The batch is sent only after that
 * write, so that a repeated pull returns the same sample ids from any owner.
 *
 * All steps of a trainer share one object. With an object per step, a late repetition of a step could create a deleted
 * object again, and its samples would be delivered twice.
 */
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {hashToHex} from '../../base/common/hash.js';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import {requiredGroups, type StepRequest} from './step.js';

const stepEntry = z.object({
	step: z.int().min(0),
	/** Digest of the request, to distinguish a repeated request from a different step with the same number. */
	digest: z.string(),
	groups: z.int().min(1),
	samplesPerGroup: z.int().min(1),
	/** Number of complete groups that completes the step. */
	required: z.int().min(1),
	/** The groups assigned to each batch so far; batch numbers start at 1. */
	batches: z.array(z.array(z.int().min(0)).readonly()).readonly(),
}).readonly();

const schema = z.object({
	/** Fencing number of the owner that wrote the ledger last. */
	fencing: z.int().min(0),
	/** Steps up to this number are no longer stored and can't be posted again. */
	retiredThrough: z.int(),
	steps: z.array(stepEntry).readonly(),
}).readonly();

/** One step in the ledger. */
export type StepEntry = z.output<typeof stepEntry>;

/** The ledger of one trainer. */
export type Ledger = z.output<typeof schema>;

/** Steps that a ledger stores: the current one, and one before or after it. */
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

/** Returns the digest that identifies a repeated request. */
export function digestOf(request: StepRequest): string {
	const {prompts, samplesPerGroup, stalenessBound, enough, maximumTokens, weightVersion} = request;
	return hashToHex(JSON.stringify([prompts, samplesPerGroup, stalenessBound, enough, maximumTokens, weightVersion])).slice(0, 32);
}

/** Finds a step; undefined when it was not posted or is retired. */
export function findStep(ledger: Ledger, step: number): StepEntry | undefined {
	return ledger.steps.find(entry => entry.step === step);
}

/** Returns whether the batches of a step contain as many groups as complete it. */
export function isClosed(entry: StepEntry): boolean {
	return entry.batches.flat().length >= entry.required;
}

/**
 * Opens a step. Returns the same ledger object when this request has already opened the step. Fails with `conflict` when a
 * different step has this number, or when the trainer has posted this or a later step before.
 */
export function openStep(ledger: Ledger, request: StepRequest): Result<Ledger, Failure> {
	const origin = {step: 'open step', peer: `${request.trainer}.${request.step}`};
	const digest = digestOf(request);
	const existing = findStep(ledger, request.step);
	if (existing !== undefined) {
		return existing.digest === digest ? ok(ledger) : err(createNotRun('conflict', origin, 'a step with this number but a different request is open'));
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

/** Adds a batch to a step. The groups must not be in any other batch; this is not checked here. */
export function assignBatch(ledger: Ledger, step: number, groups: readonly number[]): Ledger {
	return {
		...ledger,
		steps: ledger.steps.map(entry => entry.step === step ? {...entry, batches: [...entry.batches, groups]} : entry),
	};
}
