/** Accepts batches by storing them with their owner, so that an accepted batch survives the loss of any daemon. */
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../base/common/failure.js';
import type {Clock} from '../../base/common/clock.js';
import type {ObjectApi} from '../../adapters/common/object-api.js';
import type {Log} from '../../kernel/common/log.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {PeerDaemon, PeerMesh} from '../../peers/common/peer-mesh.js';
import {MAXIMUM_BATCH_CHARACTERS, type Batch, type StoredBatch} from '../common/batch.js';
import type {OwnerChoice} from '../common/owner-choice.js';
import {isSameDaemon, KIND_OF_BATCHES, type HeldBatches} from './held-batches.js';
import type {OwnerCalls} from './owner-calls.js';

/** Dependencies of the submissions. */
export type SubmissionDependencies = {
	readonly api: ObjectApi;
	readonly batches: HeldBatches;
	readonly calls: OwnerCalls;
	readonly mesh: PeerMesh;
	readonly clock: Clock;
	readonly loop: Loop;
	readonly log: Log;
	readonly isLeaving: () => boolean;
	/** Called with the other daemons that may own open batches before a batch is stored here. */
	readonly onSubmit: (owners: readonly PeerDaemon[]) => void;
	readonly ownerChoice: OwnerChoice;
	/** Whether this daemon reaches the engines of a batch. */
	readonly reachesEngines: (batch: Pick<Batch, 'host' | 'path'>) => boolean;
	/** Called once a batch is stored with this daemon as its owner. */
	readonly onStored: (batch: Batch) => void;
};

/** Submissions at one daemon. */
export type Submissions = {
	/** Accepts a batch once it is stored. Submitting an accepted batch again succeeds without a second run. */
	readonly submit: (batch: Batch, deadlineAt: number) => Promise<Result<void, Failure>>;
	/** Stores a batch that another daemon forwarded, in one attempt; when it fails, that daemon stores the batch itself. */
	readonly storeForwarded: (batch: Batch) => Promise<Result<void, Failure>>;
};

/** Delay between two attempts to store a submitted batch. */
const SUBMIT_RETRY_MS = 250;
/** Time before the caller's deadline that is reserved for the response. */
const RESPONSE_RESERVE_MS = 300;
/** Time for the chosen owner to store a batch: two calls to a healthy store, and the network delays. After it, this daemon stores the batch itself. */
const FORWARD_TIMEOUT_MS = 400;
/** Minimum time before the caller's deadline that is reserved for storing a batch here after the chosen owner failed. */
const LOCAL_STORE_RESERVE_MS = 1200;
const RETRY_AFTER_MS = 500;

/** Creates the submissions. */
export function createSubmissions(dependencies: SubmissionDependencies): Submissions {
	const {
		api, batches, calls, mesh, clock, loop, log, isLeaving,
	} = dependencies;

	/** Whether the batch that is stored under the id of a submitted one belongs to the same organisation. */
	async function checkSubmitter({id, organisation}: Batch): Promise<Result<void, Failure>> {
		const found = organisation === undefined ? ok(undefined) : await batches.findOrganisation(id);
		return found.andThen<void, Failure>(known => (known === undefined || known === organisation
			? ok()
			: err(createNotRun('invalid', {step: 'store batch', peer: id}, 'the id belongs to a batch of another organisation'))));
	}

	async function store(batch: Batch, deadlineAt: number, mayBeStored: boolean): Promise<Result<void, Failure>> {
		const startedAt = clock.monotonic();
		const stored: StoredBatch = {owner: mesh.self, acceptedAt: clock.wall(), batch};
		const created = await api.create({kind: KIND_OF_BATCHES, name: batch.id}, stored);
		if (created.isOk()) {
			batches.runIfOwned(batches.hold(batch, mesh.self, [], startedAt));
			dependencies.onStored(batch);
			batches.scheduleRemoval(batch.id);
			return ok();
		}

		const isConflict = created.error.code === 'conflict';
		const known = isConflict ? await checkSubmitter(batch) : err(created.error);
		if (isConflict && known.isErr() && known.error.code === 'invalid') {
			return err(known.error);
		}

		if (known.isOk()) {
			// An earlier write of this daemon or of another one took effect, and that daemon may not know.
			void calls.ensureRunning(batch.id).then(owner => {
				if (owner.isErr()) {
					log.info('batch that is stored already may not run', {batchId: batch.id, reason: owner.error.message});
				} else if (isSameDaemon(owner.value, mesh.self)) {
					dependencies.onStored(batch);
				}
			});
			return ok();
		}

		const mayBeStoredNow = mayBeStored || isConflict || known.error.effect === 'outcomeUnknown';
		log.info('batch not stored yet', {
			batchId: batch.id, code: known.error.code, effect: known.error.effect, reason: known.error.message,
		});
		if (clock.monotonic() + SUBMIT_RETRY_MS > deadlineAt - RESPONSE_RESERVE_MS || isLeaving()) {
			const origin = {step: 'store batch', peer: batch.id};
			return err(mayBeStoredNow ? createOutcomeUnknown('unavailable', origin, 'the store did not respond') : createNotRun('unavailable', origin, 'the store is unreachable', RETRY_AFTER_MS));
		}

		await loop.sleep(SUBMIT_RETRY_MS);
		return store(batch, deadlineAt, mayBeStoredNow);
	}

	async function storeHere(batch: Batch, deadlineAt: number, mayBeStored: boolean): Promise<Result<void, Failure>> {
		dependencies.onSubmit(batches.listOwners());
		return store(batch, deadlineAt, mayBeStored);
	}

	/** Asks another daemon to store and own a batch; `unknown` means that it may still store the batch. */
	async function forwardTo(batch: Batch, owner: PeerDaemon): Promise<'stored' | 'notStored' | 'unknown'> {
		const reply = await mesh.call(owner, 'batch-submit', {batch, batchId: batch.id}, FORWARD_TIMEOUT_MS);
		const outcome = reply.match(
			({status}) => (status === 200 ? 'stored' as const : (status === 503 ? 'notStored' as const : 'unknown' as const)),
			failure => (failure.effect === 'notRun' ? 'notStored' as const : 'unknown' as const),
		);
		if (outcome === 'stored') {
			batches.cacheOwner(batch.id, owner);
		} else {
			dependencies.ownerChoice.recordFailure(owner.name, clock.monotonic());
			log.info('chosen owner did not take the batch', {
				batchId: batch.id, owner: owner.name, outcome, ...(reply.isErr() && {reason: reply.error.message}),
			});
		}

		return outcome;
	}

	async function chooseOwner(batch: Batch, deadlineAt: number, now: number): Promise<PeerDaemon | undefined> {
		if (deadlineAt - now < FORWARD_TIMEOUT_MS + LOCAL_STORE_RESERVE_MS) {
			return undefined;
		}

		return dependencies.reachesEngines(batch)
			? dependencies.ownerChoice.choose(batch.id, mesh.self, mesh.othersByReachability(), batches.countOpen, now)
			: calls.findReaching(batch);
	}

	return {
		async storeForwarded(batch) {
			if (isLeaving() || !dependencies.reachesEngines(batch)) {
				return err(createNotRun('unavailable', {step: 'store batch', peer: batch.id}, isLeaving() ? 'this daemon is stopping' : 'this daemon does not reach the engines'));
			}

			return batches.get(batch.id) === undefined ? storeHere(batch, clock.monotonic(), false) : checkSubmitter(batch);
		},
		async submit(batch, deadlineAt) {
			if (batches.get(batch.id) !== undefined || batches.cachedOwner(batch.id) !== undefined) {
				return checkSubmitter(batch);
			}

			if (JSON.stringify(batch).length > MAXIMUM_BATCH_CHARACTERS) {
				return err(createNotRun('invalid', {step: 'store batch', peer: batch.id}, `the batch has more than ${MAXIMUM_BATCH_CHARACTERS} characters as JSON`));
			}

			const chosen = await chooseOwner(batch, deadlineAt, clock.monotonic());
			const forwarded = chosen === undefined ? 'notStored' : await forwardTo(batch, chosen);
			return forwarded === 'stored' ? ok() : storeHere(batch, deadlineAt, forwarded === 'unknown');
		},
	};
}
