/** An object API in memory, shared by daemons of a test, with the faults that a real one has. */
import {err, ok, type Result} from 'neverthrow';
import {
	ObjectApi, type ApiObject, type ApiObjectId, type ObjectChanges,
} from '../../src/adapters/common/object-api.js';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../src/base/common/failure.js';
import type {Loop} from '../../src/kernel/common/loop.js';

/** The store and its controls. */
export type MemoryObjects = {
	/** The API as one daemon reaches it. */
	readonly open: (daemon: string) => ObjectApi;
	/** Daemons that the store does not answer. */
	readonly cut: Set<string>;
	/** Daemons whose next write takes effect without an answer. */
	readonly loseNextWrite: Set<string>;
	/** Calls by operation. */
	readonly calls: Map<string, number>;
	/** Drops the history before the present revision. */
	readonly compact: () => void;
	readonly put: (kind: string, name: string, spec: unknown) => void;
	readonly drop: (kind: string, name: string) => void;
	readonly find: (kind: string, name: string) => ApiObject | undefined;
};

type Change = {
	readonly kind: string;
	readonly revision: number;
	readonly object: ApiObject;
	readonly isDeleted: boolean;
};

const CALL_MS = 5;
const SILENCE_MS = 1000;

/** Creates an empty store. */
export function createMemoryObjects(loop: Loop): MemoryObjects {
	const objects = new Map<string, ApiObject>();
	const cut = new Set<string>();
	const loseNextWrite = new Set<string>();
	const calls = new Map<string, number>();
	let history: Change[] = [];
	let oldest = 0;
	let revision = 1;
	const waiting = new Set<() => void>();
	const origin = {step: 'call', peer: 'store'};
	const keyOf = (kind: string, name: string): string => `${kind}/${name}`;

	function change(kind: string, object: ApiObject, isDeleted: boolean): ApiObject {
		revision += 1;
		const changed = {...object, revision};
		if (isDeleted) {
			objects.delete(keyOf(kind, object.name));
		} else {
			objects.set(keyOf(kind, object.name), changed);
		}

		history.push({
			kind, revision, object: changed, isDeleted,
		});
		[...waiting].forEach(wake => {
			wake();
		});
		return changed;
	}

	async function reach<T>(daemon: string, operation: string, action: () => Result<T, Failure>, isWrite: boolean): Promise<Result<T, Failure>> {
		calls.set(operation, (calls.get(operation) ?? 0) + 1);
		if (cut.has(daemon)) {
			await loop.sleep(SILENCE_MS);
			return err(createOutcomeUnknown('unavailable', origin, 'no answer'));
		}

		await loop.sleep(CALL_MS);
		const outcome = action();
		if (isWrite && loseNextWrite.delete(daemon)) {
			return err(createOutcomeUnknown('unavailable', origin, 'the answer was lost'));
		}

		return outcome;
	}

	function conflict(): Failure {
		return createNotRun('conflict', origin, 'not as expected');
	}

	/** Waits without hearing of changes, as a cut connection does. */
	async function waitInSilence(waitMs: number, signal: AbortSignal | undefined): Promise<void> {
		await new Promise<void>(resolve => {
			const timer = loop.after(waitMs, () => {
				resolve();
			});
			signal?.addEventListener('abort', () => {
				timer.dispose();
				resolve();
			}, {once: true});
		});
	}

	async function waitForChange(waitMs: number, signal: AbortSignal | undefined): Promise<void> {
		await new Promise<void>(resolve => {
			const finish = () => {
				waiting.delete(finish);
				timer.dispose();
				resolve();
			};

			const timer = loop.after(waitMs, finish);
			waiting.add(finish);
			signal?.addEventListener('abort', finish, {once: true});
		});
	}

	function open(daemon: string): ObjectApi {
		async function changesSince(kind: string, since: number, until: number, signal: AbortSignal | undefined): Promise<Result<ObjectChanges, Failure>> {
			if (signal?.aborted === true) {
				return err(createOutcomeUnknown('aborted', origin, 'aborted'));
			}

			if (since < oldest) {
				return err(createNotRun('stale', origin, 'the history is gone'));
			}

			const found = history.filter(entry => entry.kind === kind && entry.revision > since);
			if (found.length > 0 || until <= 0) {
				return ok({changes: found, revision});
			}

			await waitForChange(until, signal);
			return changesSince(kind, since, 0, signal);
		}

		return new (class extends ObjectApi {
			override async read({kind, name}: ApiObjectId) {
				return reach(daemon, 'read', () => ok(objects.get(keyOf(kind, name))), false);
			}

			override async list(kind: string) {
				return reach(daemon, 'list', () => ok({
					objects: [...objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, object]) => object), revision,
				}), false);
			}

			override async changes(kind: string, since: number, waitMs: number, signal?: AbortSignal) {
				if (cut.has(daemon)) {
					await waitInSilence(waitMs + SILENCE_MS, signal);
					return err(createOutcomeUnknown('unavailable', origin, 'no answer'));
				}

				calls.set('changes', (calls.get('changes') ?? 0) + 1);
				await loop.sleep(CALL_MS);
				return changesSince(kind, since, waitMs, signal);
			}

			override async create({kind, name}: ApiObjectId, spec: unknown) {
				return reach(daemon, 'create', () => (objects.has(keyOf(kind, name))
					? err(conflict())
					: ok(change(kind, {
						name, revision: 0, spec: structuredClone(spec), status: undefined,
					}, false))), true);
			}

			override async replace({kind, name}: ApiObjectId, spec: unknown, ifRevision: number) {
				return reach(daemon, 'replace', () => {
					const found = objects.get(keyOf(kind, name));
					return found?.revision === ifRevision ? ok(change(kind, {...found, spec: structuredClone(spec)}, false)) : err(conflict());
				}, true);
			}

			override async replaceStatus({kind, name}: ApiObjectId, status: unknown) {
				return reach(daemon, 'replaceStatus', () => {
					const found = objects.get(keyOf(kind, name));
					return found === undefined ? err(createNotRun('notFound', origin, 'no such object')) : ok(change(kind, {...found, status}, false));
				}, true);
			}

			override async remove({kind, name}: ApiObjectId) {
				return reach(daemon, 'remove', () => {
					const found = objects.get(keyOf(kind, name));
					if (found !== undefined) {
						change(kind, found, true);
					}

					return ok();
				}, true);
			}
		})();
	}

	return {
		open,
		cut,
		loseNextWrite,
		calls,
		compact() {
			oldest = revision;
			history = [];
		},
		put(kind, name, spec) {
			change(kind, {
				name, revision: 0, spec, status: undefined,
			}, false);
		},
		drop(kind, name) {
			const found = objects.get(keyOf(kind, name));
			if (found !== undefined) {
				change(kind, found, true);
			}
		},
		find: (kind, name) => objects.get(keyOf(kind, name)),
	};
}
