/**
 * A store in the memory of one process: the `memory` adapter for embedding, the core of the simulated object API, and the
 * fake that tests use. It can fail in the same ways as the real store.
 */
import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {createEmitter} from '../../base/common/event.js';
import type {Disposable} from '../../base/common/disposable.js';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../base/common/failure.js';
import {
	Store, type ConditionalRemoval, type ConditionalWrite, type ObjectId, type ObjectKind, type StoredObject,
} from './store.js';

/** The fault that is injected into one call. `lostAnswer` applies a write and then loses the response. */
export type StoreFault = 'none' | 'down' | 'lostAnswer';

/** The operations of a store, by which faults and counters distinguish calls. */
export type StoreCall = 'read' | 'write' | 'remove' | 'list';

/** A memory store with functions to control and inspect it. */
export type MemoryStore = {
	/** Opens a view of the store; `decideFault` is called before each call of the view. */
	readonly open: (decideFault?: (call: StoreCall, id: Partial<ObjectId>) => StoreFault) => Store;
	/** Sets whether watches report changes. */
	readonly setWatching: (watching: boolean) => void;
	/** Number of calls so far, over all views. */
	readonly calls: () => number;
	/** All objects, for checks in tests. */
	readonly objects: () => readonly StoredObject[];
};

/** Maximum size of a value in bytes. */
const MAXIMUM_VALUE_BYTES = 1024 * 1024;

const peer = 'memory store';

function keyOf(id: ObjectId): string {
	return `${id.kind}/${id.name}`;
}

function createDownFailure(step: string): Failure {
	return createNotRun('unavailable', {step, peer}, 'the store is unavailable');
}

/** Creates an empty memory store. */
export function createMemoryStore(): MemoryStore {
	const objects = new Map<string, StoredObject>();
	const changes = createEmitter<StoredObject>();
	let lastVersion = 0;
	let calls = 0;
	let reportsChanges = true;

	function checkVersion(id: ObjectId, ifVersion: number, step: string): Result<void, Failure> {
		const found = objects.get(keyOf(id))?.version ?? 0;
		return found === ifVersion
			? ok()
			: err(createNotRun('conflict', {step, peer}, `${keyOf(id)} is at version ${found}, expected ${ifVersion}`));
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
			if (reportsChanges) {
				changes.fire(stored);
			}

			return stored;
		});
	}

	function openView(decideFault: (call: StoreCall, id: Partial<ObjectId>) => StoreFault): Store {
		function startCall(call: StoreCall, id: Partial<ObjectId>): StoreFault {
			calls += 1;
			return decideFault(call, id);
		}

		return new (class extends Store {
			override async read(id: ObjectId) {
				return startCall('read', id) === 'none' ? ok(objects.get(keyOf(id))) : err(createDownFailure('read object'));
			}

			override async write(write: ConditionalWrite) {
				const fault = startCall('write', write);
				if (fault === 'down') {
					return err(createDownFailure('write object'));
				}

				const applied = apply(write);
				return fault === 'lostAnswer'
					? err(createOutcomeUnknown('unavailable', {step: 'write object', peer}, 'the response was lost'))
					: applied;
			}

			override async remove(removal: ConditionalRemoval) {
				const fault = startCall('remove', removal);
				if (fault === 'down') {
					return err(createDownFailure('remove object'));
				}

				const removed = checkVersion(removal, removal.ifVersion, 'remove object').andTee(() => {
					objects.delete(keyOf(removal));
				});
				return fault === 'lostAnswer'
					? err(createOutcomeUnknown('unavailable', {step: 'remove object', peer}, 'the response was lost'))
					: removed;
			}

			override async list(kind: ObjectKind, prefix: string) {
				if (startCall('list', {kind}) !== 'none') {
					return err(createDownFailure('list objects'));
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
		open: (decideFault = () => 'none') => openView(decideFault),
		setWatching(value) {
			reportsChanges = value;
		},
		calls: () => calls,
		objects: () => [...objects.values()],
	};
}
