/** Determines the outcome of a write whose response was lost, by reading the object and comparing its write id. */
import {err, ok, type Result} from 'neverthrow';
import {createOutcomeUnknown, type Failure} from '../../base/common/failure.js';
import type {ConditionalWrite, Store, StoredObject} from './store.js';

/** Attempts to read the object before the write is reported as `outcomeUnknown`. */
const READ_BACK_ATTEMPTS = 3;

function isOwnWrite(write: ConditionalWrite, found: StoredObject): boolean {
	return found.writeId.writer === write.writeId.writer && found.writeId.sequence === write.writeId.sequence;
}

async function readBack(store: Store, write: ConditionalWrite, unknownOutcome: Failure, attemptsLeft: number): Promise<Result<StoredObject, Failure>> {
	if (attemptsLeft === 0) {
		return err(unknownOutcome);
	}

	const found = await store.read(write);
	if (found.isErr()) {
		return readBack(store, write, unknownOutcome, attemptsLeft - 1);
	}

	if (found.value && isOwnWrite(write, found.value)) {
		return ok(found.value);
	}

	const version = found.value?.version ?? 0;
	// An unchanged object does not prove that the write failed: it may still arrive, so its outcome stays unknown.
	return version === write.ifVersion
		? err(unknownOutcome)
		: err(createOutcomeUnknown('conflict', {step: 'settle write', peer: `${write.kind}/${write.name}`}, `another write changed the object to version ${version}`));
}

/**
 * Writes an object and determines the outcome if the response is lost.
 *
 * A `conflict` with effect `notRun` means that the write was certainly not applied. A `conflict` with effect
 * `outcomeUnknown` means that the response was lost and another write followed: this write may have been applied and then
 * replaced, so the caller must read the object again. Any other failure with effect `outcomeUnknown` means that the object
 * could not be read or that the write may still arrive.
 */
export async function writeSettled(store: Store, write: ConditionalWrite): Promise<Result<StoredObject, Failure>> {
	const written = await store.write(write);
	return written.isErr() && written.error.effect === 'outcomeUnknown'
		? readBack(store, write, written.error, READ_BACK_ATTEMPTS)
		: written;
}
