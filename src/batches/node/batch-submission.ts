/** Accepts batches: stores them with this daemon as the owner, so that a 202 rests on the store alone. */
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../base/common/failure.js';
import type {Clock} from '../../base/common/clock.js';
import type {ObjectApi} from '../../adapters/common/object-api.js';
import type {Log} from '../../kernel/common/log.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {PeerDaemon, PeerMesh} from '../../peers/common/peer-mesh.js';
import type {Batch, StoredBatch} from '../common/batch.js';
import type {OwnerChoice} from '../common/owner-choice.js';
import {isSameDaemon, KIND_OF_BATCHES, type HeldBatches} from './held-batches.js';
import type {OwnerCalls} from './owner-calls.js';

/** What a submission works with. */
export type SubmissionParts = {
	readonly api: ObjectApi;
	readonly batches: HeldBatches;
	readonly calls: OwnerCalls;
	readonly mesh: PeerMesh;
	readonly clock: Clock;
	readonly loop: Loop;
	readonly log: Log;
	readonly isLeaving: () => boolean;
	/** Called with the other daemons that own open batches when a batch comes in. */
	readonly onSubmit: (owners: readonly PeerDaemon[]) => void;
	readonly ownerChoice: OwnerChoice;
	/** Called once a batch is stored with this daemon as its owner. */
	readonly onStored: (batch: Batch) => void;
};

/** Submissions at one daemon. */
export type Submissions = {
	/** Accepts a batch once it is stored; a batch that was accepted before is accepted again. */
	readonly submit: (batch: Batch, deadlineAt: number) => Promise<Result<void, Failure>>;
	/** Stores a batch that another daemon passed on, in one try; that daemon goes on by itself where this one fails. */
	readonly storePassedOn: (batch: Batch) => Promise<Result<void, Failure>>;
};

/** Pause between two tries to store a batch that was submitted. */
const SUBMIT_RETRY_MS = 250;
/** Time of the caller's deadline kept back for the answer. */
const SUBMIT_WAY_MS = 300;
/** Time for the chosen owner to store a batch: two calls to a store that is well, and the ways. Then this daemon stores it itself. */
const PASS_ON_TIMEOUT_MS = 400;
/** Least time of the caller's deadline that is kept for storing a batch here after the chosen owner failed. */
const OWN_STORE_MS = 1200;
/** An object of the store holds a megabyte. */
const LARGEST_BATCH_OBJECT = 900_000;
const RETURN_AFTER_MS = 500;

/** Creates the submissions. */
export function createSubmissions(parts: SubmissionParts): Submissions {
	const {
		api, batches, calls, mesh, clock, loop, log, isLeaving,
	} = parts;

	async function store(batch: Batch, deadlineAt: number, isDoubtful: boolean): Promise<Result<void, Failure>> {
		const startedAt = clock.monotonic();
		const stored: StoredBatch = {owner: mesh.self, acceptedAt: clock.wall(), batch};
		const created = await api.create({kind: KIND_OF_BATCHES, name: batch.id}, stored);
		if (created.isOk()) {
			batches.own(batches.hold(batch, mesh.self, [], startedAt), []);
			parts.onStored(batch);
			batches.retire(batch.id);
			return ok();
		}

		if (created.error.code === 'conflict') {
			const known = await batches.findOwner(batch.id);
			if (known.isOk() && isSameDaemon(known.value, mesh.self)) {
				// The answer to this daemon's own write was lost.
				void calls.adopt(batch.id, mesh.self, 'own write was lost').then(adopted => {
					const entry = batches.get(batch.id);
					if (adopted.isOk() && entry !== undefined && batches.isOwned(entry) && entry.owner === undefined) {
						batches.own(entry, []);
					}
				});
				parts.onStored(batch);
			}

			return ok();
		}

		const doubtful = isDoubtful || created.error.effect === 'outcomeUnknown';
		log.info('batch not stored yet', {
			batchId: batch.id, code: created.error.code, effect: created.error.effect, reason: created.error.message,
		});
		if (clock.monotonic() + SUBMIT_RETRY_MS > deadlineAt - SUBMIT_WAY_MS || isLeaving()) {
			const origin = {step: 'store batch', peer: batch.id};
			return err(doubtful ? createOutcomeUnknown('unavailable', origin, 'the store did not answer') : createNotRun('unavailable', origin, 'the store is out of reach', RETURN_AFTER_MS));
		}

		await loop.sleep(SUBMIT_RETRY_MS);
		return store(batch, deadlineAt, doubtful);
	}

	async function storeHere(batch: Batch, deadlineAt: number, isDoubtful: boolean): Promise<Result<void, Failure>> {
		parts.onSubmit(batches.listOwners());
		return store(batch, deadlineAt, isDoubtful);
	}

	/** Has another daemon store and own a batch; says whether it did, and otherwise whether it may yet. */
	async function passOn(batch: Batch, owner: PeerDaemon): Promise<'stored' | 'notStored' | 'unknown'> {
		const reply = await mesh.call(owner, 'batch-submit', {batch, batchId: batch.id}, PASS_ON_TIMEOUT_MS);
		const outcome = reply.match(
			({status}) => (status === 200 ? 'stored' as const : (status === 503 ? 'notStored' as const : 'unknown' as const)),
			failure => (failure.effect === 'notRun' ? 'notStored' as const : 'unknown' as const),
		);
		if (outcome === 'stored') {
			batches.believe(batch.id, owner);
		} else {
			parts.ownerChoice.fail(owner.name, clock.monotonic());
			log.info('chosen owner did not take the batch', {
				batchId: batch.id, owner: owner.name, outcome, ...(reply.isErr() && {reason: reply.error.message}),
			});
		}

		return outcome;
	}

	function chooseOwner(batch: Batch, deadlineAt: number, now: number): PeerDaemon | undefined {
		return deadlineAt - now < PASS_ON_TIMEOUT_MS + OWN_STORE_MS
			? undefined
			: parts.ownerChoice.choose(batch.id, mesh.self, mesh.likelyUp(), batches.countOpen, now);
	}

	return {
		async storePassedOn(batch) {
			if (isLeaving()) {
				return err(createNotRun('unavailable', {step: 'store batch', peer: batch.id}, 'this daemon is about to stop'));
			}

			return batches.get(batch.id) === undefined ? storeHere(batch, clock.monotonic(), false) : ok();
		},
		async submit(batch, deadlineAt) {
			if (batches.get(batch.id) !== undefined || batches.believedOwner(batch.id) !== undefined) {
				return ok();
			}

			if (JSON.stringify(batch).length > LARGEST_BATCH_OBJECT) {
				return err(createNotRun('invalid', {step: 'store batch', peer: batch.id}, `the batch is larger than ${LARGEST_BATCH_OBJECT} bytes`));
			}

			const chosen = chooseOwner(batch, deadlineAt, clock.monotonic());
			const passed = chosen === undefined ? 'notStored' : await passOn(batch, chosen);
			return passed === 'stored' ? ok() : storeHere(batch, deadlineAt, passed === 'unknown');
		},
	};
}
