/**
 * The target of each model of a pool: the newest published version. It is one object per pool and model in the store, so that
 * it survives the restart of every daemon. Conditional writes ensure that it never decreases, also when publishers write
 * concurrently or the response to a write is lost.
 */
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import {writeSettled} from '../../adapters/common/settled-write.js';
import type {Store, StoredObject} from '../../adapters/common/store.js';

/** The newest published version of a model. */
export type Target = {
	readonly model: string;
	readonly version: number;
};

/** Reads and raises targets. */
export type TargetStore = {
	/** Raises the target of a model and returns the current one: `version`, or a higher one that was published before. */
	readonly raise: (pool: string, target: Target) => Promise<Result<number, Failure>>;
	/** Reads the targets of a pool. */
	readonly read: (pool: string) => Promise<Result<readonly Target[], Failure>>;
};

/** Attempts to raise a target; an attempt fails when another publisher writes at the same time. */
const RAISE_ATTEMPTS = 5;
const RETRY_AFTER_MS = 1000;

const schema = z.object({model: z.string(), version: z.int().min(0)});

function nameOf(pool: string, model: string): string {
	return `${pool}.${model}`;
}

function decode(object: StoredObject): Target {
	return schema.parse(JSON.parse(object.value));
}

/** Creates a target store. `writer` identifies this daemon and its incarnation in write ids. */
export function createTargetStore(store: Store, writer: string): TargetStore {
	let writes = 0;

	async function attempt(pool: string, target: Target, attemptsLeft: number): Promise<Result<number, Failure>> {
		const name = nameOf(pool, target.model);
		const found = await store.read({kind: 'weights', name});
		if (found.isErr()) {
			return err(found.error);
		}

		const current = found.value === undefined ? 0 : decode(found.value).version;
		if (current >= target.version) {
			return ok(current);
		}

		writes += 1;
		const written = await writeSettled(store, {
			kind: 'weights', name, value: JSON.stringify(target), ifVersion: found.value?.version ?? 0, writeId: {writer, sequence: `target-${writes}`},
		});
		if (written.isOk()) {
			return ok(target.version);
		}

		// The next attempt reads the object again, so it does not matter whether this write took effect: raising is idempotent.
		return attemptsLeft > 1
			? attempt(pool, target, attemptsLeft - 1)
			: err(createNotRun('unavailable', {step: 'raise weight version', peer: name}, written.error.message, RETRY_AFTER_MS));
	}

	return {
		raise: async (pool, target) => attempt(pool, target, RAISE_ATTEMPTS),
		async read(pool) {
			const objects = await store.list('weights', `${pool}.`);
			return objects.map(found => found.map(object => decode(object)));
		},
	};
}
