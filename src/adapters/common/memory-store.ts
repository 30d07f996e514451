/**
 * A store in the memory of one process: the `memory` adapter for embedding, the core of the stand-in for the object API,
 * and the fake that tests use. It has the failures of the real one.
 */
import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {createEmitter} from '../../base/common/event.js';
import type {Disposable} from '../../base/common/disposable.js';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../base/common/failure.js';
import {
	Store, type ConditionalRemoval, type ConditionalWrite, type ObjectId, type ObjectKind, type StoredObject,
} from './store.js';

/** What goes wrong with one call. `lostAnswer` applies a write and then loses the answer. */
export type StoreFault = 'none' | 'down' | 'lostAnswer';

/** The calls of a store, as faults and counters see them. */
export type StoreCall = 'read' | 'write' | 'remove' | 'list';

/** A memory store with its controls. */
export type MemoryStore = {
	/** Opens a view of the store; `decideFault` is asked before each call of the view. */
	readonly open: (decideFault?: (call: StoreCall, id: Partial<ObjectId>) => StoreFault) => Store;
	/** Sets whether watches report changes. */
	readonly setWatching: (watching: boolean) => void;
	/** Calls so far, over all views. */
	readonly calls: () => number;
	/** All objects, for checkers. */
	readonly objects: () => readonly StoredObject[];
};

/** Largest value in bytes. */
const MAXIMUM_VALUE_BYTES = 1024 * 1024;

const peer = 'memory store';

function keyOf(id: ObjectId): string {
	return `${id.kind}/${id.name}`;
}

function createDown(step: string): Failure {
	return createNotRun('unavailable', {step, peer}, 'the store is down');
}

/** Creates an empty memory store. */
export function createMemoryStore(): MemoryStore {
	const objects = new Map<string, StoredObject>();
	const changes = createEmitter<StoredObject>();
	let lastVersion = 0;
	let calls = 0;
	let watching = true;

	function checkVersion(id: ObjectId, ifVersion: number, step: string): Result<void, Failure> {
		const found = objects.get(keyOf(id))?.version ?? 0;
		return found === ifVersion
			? ok()
			: err(createNotRun('conflict', {step, peer}, `${keyOf(id)} is at version ${found}, not ${ifVersion}`));
	}

	function apply(write: ConditionalWrite): Result<StoredObject, Failure> {
		if (Buffer.byteLength(write.value) > MAXIMUM_VALUE_BYTES) {
			return err(createNotRun('invalid', {step: 'write object', peer}, `${keyOf(write)} is larger than ${MAXIMUM_VALUE_BYTES} bytes`));
		}

		return checkVersion(write, write.ifVersion, 'write object').map(() => {
			lastVersion += 1;
			const {kind, name, value, writeId} = write;
			const stored: StoredObject = {
				kind, name, value, writeId, version: lastVersion,
			};
			objects.set(keyOf(stored), stored);
			if (watching) {
				changes.fire(stored);
			}

			return stored;
		});
	}

	function createView(decideFault: (call: StoreCall, id: Partial<ObjectId>) => StoreFault): Store {
		function begin(call: StoreCall, id: Partial<ObjectId>): StoreFault {
			calls += 1;
			return decideFault(call, id);
		}

		return new (class extends Store {
			override async read(id: ObjectId) {
				return begin('read', id) === 'none' ? ok(objects.get(keyOf(id))) : err(createDown('read object'));
			}

			override async write(write: ConditionalWrite) {
				const fault = begin('write', write);
				if (fault === 'down') {
					return err(createDown('write object'));
				}

				const applied = apply(write);
				return fault === 'lostAnswer'
					? err(createOutcomeUnknown('unavailable', {step: 'write object', peer}, 'the answer was lost'))
					: applied;
			}

			override async remove(removal: ConditionalRemoval) {
				const fault = begin('remove', removal);
				if (fault === 'down') {
					return err(createDown('remove object'));
				}

				const removed = checkVersion(removal, removal.ifVersion, 'remove object').andTee(() => {
					objects.delete(keyOf(removal));
				});
				return fault === 'lostAnswer'
					? err(createOutcomeUnknown('unavailable', {step: 'remove object', peer}, 'the answer was lost'))
					: removed;
			}

			override async list(kind: ObjectKind, prefix: string) {
				if (begin('list', {kind}) !== 'none') {
					return err(createDown('list objects'));
				}

				const found = [...objects.values()].filter(object => object.kind === kind && object.name.startsWith(prefix));
				return ok(found.toSorted((a, b) => (a.name < b.name ? -1 : 1)));
			}

			override watch(kind: ObjectKind, listener: (object: StoredObject) => void): Disposable {
				return changes.event(object => {
					if (object.kind === kind) {
						listener(object);
					}
				});
			}
		})();
	}

	return {
		open: (decideFault = () => 'none') => createView(decideFault),
		setWatching(value) {
			watching = value;
		},
		calls: () => calls,
		objects: () => [...objects.values()],
	};
}
