/**
 * The newest published version of each model of a pool. One object per pool and model in the store holds it, so that it
 * outlives every daemon; conditional writes keep it from going down when publishers race or an answer is lost.
 */
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import {writeSettled} from '../../adapters/common/settled-write.js';
import type {Store, StoredObject} from '../../adapters/common/store.js';

/** The published version of a model. */
export type Target = {
	readonly model: string;
	readonly version: number;
};

/** Reads and raises targets. */
export type TargetKeeper = {
	/** Raises the target of a model and returns the one in force: `version`, or a higher one that was there already. */
	readonly raise: (pool: string, target: Target) => Promise<Result<number, Failure>>;
	/** Reads the targets of a pool. */
	readonly read: (pool: string) => Promise<Result<readonly Target[], Failure>>;
};

/** Times that a raise is tried anew after another publisher wrote in between. */
const RAISE_ATTEMPTS = 5;
const RETRY_AFTER_MS = 1000;

const schema = z.object({model: z.string(), version: z.int().min(0)});

function nameOf(pool: string, model: string): string {
	return `${pool}.${model}`;
}

function decode(object: StoredObject): Target {
	return schema.parse(JSON.parse(object.value));
}

/** Creates a keeper. `writer` names this daemon and its incarnation in write ids. */
export function createTargetKeeper(store: Store, writer: string): TargetKeeper {
	let writes = 0;

	async function attempt(pool: string, target: Target, attemptsLeft: number): Promise<Result<number, Failure>> {
		const name = nameOf(pool, target.model);
		const found = await store.read({kind: 'weights', name});
		if (found.isErr()) {
			return err(found.error);
		}

		const present = found.value === undefined ? 0 : decode(found.value).version;
		if (present >= target.version) {
			return ok(present);
		}

		writes += 1;
		const written = await writeSettled(store, {
			kind: 'weights', name, value: JSON.stringify(target), ifVersion: found.value?.version ?? 0, writeId: {writer, sequence: `target-${writes}`},
		});
		if (written.isOk()) {
			return ok(target.version);
		}

		// Whatever became of the write, reading the object again settles it: raising is idempotent.
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
