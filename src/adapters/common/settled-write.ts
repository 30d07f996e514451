/** Settles writes whose answer was lost, by reading the object back and looking for one's own write id. */
import {err, ok, type Result} from 'neverthrow';
import {createOutcomeUnknown, type Failure} from '../../base/common/failure.js';
import type {ConditionalWrite, Store, StoredObject} from './store.js';

/** Times that a doubtful write is read back before it is reported as unknown. */
const READ_BACK_ATTEMPTS = 3;

function isOwn(write: ConditionalWrite, found: StoredObject): boolean {
	return found.writeId.writer === write.writeId.writer && found.writeId.sequence === write.writeId.sequence;
}

async function readBack(store: Store, write: ConditionalWrite, doubt: Failure, attemptsLeft: number): Promise<Result<StoredObject, Failure>> {
	if (attemptsLeft === 0) {
		return err(doubt);
	}

	const found = await store.read(write);
	if (found.isErr()) {
		return readBack(store, write, doubt, attemptsLeft - 1);
	}

	if (found.value && isOwn(write, found.value)) {
		return ok(found.value);
	}

	const version = found.value?.version ?? 0;
	// An unchanged object does not prove that the write will not arrive yet, so the doubt stays.
	return version === write.ifVersion
		? err(doubt)
		: err(createOutcomeUnknown('conflict', {step: 'settle write', peer: `${write.kind}/${write.name}`}, `another write made it version ${version}`));
}

/**
 * Writes an object and settles a lost answer.
 *
 * A `conflict` with effect `notRun` is certain. A `conflict` with effect `outcomeUnknown` means that the answer was lost
 * and another write came after: the own write may have stood for a while, so the caller reads anew. Any other failure
 * with effect `outcomeUnknown` means that the store could not be read back or that the write may still arrive.
 */
export async function writeSettled(store: Store, write: ConditionalWrite): Promise<Result<StoredObject, Failure>> {
	const written = await store.write(write);
	return written.isErr() && written.error.effect === 'outcomeUnknown'
		? readBack(store, write, written.error, READ_BACK_ATTEMPTS)
		: written;
}
