/** An in-memory object API that the daemons of a test share, with faults: partitions, lost answers and a dropped history. */
import {err, ok, type Result} from 'neverthrow';
import {
	ObjectApi, type ApiObject, type ApiObjectId, type ObjectChanges,
} from '../../src/adapters/common/object-api.js';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../src/base/common/failure.js';
import type {Loop} from '../../src/kernel/common/loop.js';

/** The store and its controls. */
export type MemoryObjects = {
	/** Returns the API for one daemon. */
	readonly open: (daemon: string) => ObjectApi;
	/** Daemons that are partitioned from the store: their calls get no answer. */
	readonly partitioned: Set<string>;
	/** Daemons whose next write takes effect, but whose answer is lost. */
	readonly loseNextWrite: Set<string>;
	/** Daemons whose next write gets no answer and takes effect after this time, in milliseconds, if its condition still holds then. */
	readonly delayNextWrite: Map<string, number>;
	/** Number of calls by operation. */
	readonly calls: Map<string, number>;
	/** Drops the history before the current revision. */
	readonly compact: () => void;
	readonly put: (kind: string, name: string, spec: unknown) => void;
	readonly drop: (kind: string, name: string) => void;
	readonly find: (kind: string, name: string) => ApiObject | undefined;
	readonly findAll: (kind: string) => readonly ApiObject[];
};

type Change = {
	readonly kind: string;
	readonly revision: number;
	readonly object: ApiObject;
	readonly isDeleted: boolean;
};

const CALL_LATENCY_MS = 5;
const NO_ANSWER_MS = 1000;

/** Creates an empty store. */
export function createMemoryObjects(loop: Loop): MemoryObjects {
	const objects = new Map<string, ApiObject>();
	const cut = new Set<string>();
	const loseNextWrite = new Set<string>();
	const delayNextWrite = new Map<string, number>();
	const calls = new Map<string, number>();
	let history: Change[] = [];
	let oldestRevision = 0;
	let revision = 1;
	const wakeCallbacks = new Set<() => void>();
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
		[...wakeCallbacks].forEach(wake => {
			wake();
		});
		return changed;
	}

	async function callStore<T>(daemon: string, operation: string, action: () => Result<T, Failure>, isWrite: boolean): Promise<Result<T, Failure>> {
		calls.set(operation, (calls.get(operation) ?? 0) + 1);
		if (cut.has(daemon)) {
			await loop.sleep(NO_ANSWER_MS);
			return err(createOutcomeUnknown('unavailable', origin, 'no answer'));
		}

		const delayMs = isWrite ? delayNextWrite.get(daemon) : undefined;
		if (delayMs !== undefined) {
			delayNextWrite.delete(daemon);
			loop.after(delayMs, () => {
				action();
			});
			await loop.sleep(NO_ANSWER_MS);
			return err(createOutcomeUnknown('unavailable', origin, 'no answer'));
		}

		await loop.sleep(CALL_LATENCY_MS);
		const outcome = action();
		if (isWrite && loseNextWrite.delete(daemon)) {
			return err(createOutcomeUnknown('unavailable', origin, 'the answer was lost'));
		}

		return outcome;
	}

	function conflict(): Failure {
		return createNotRun('conflict', origin, 'the object is not as expected');
	}

	/** Waits without receiving changes, as on a connection that is cut. */
	async function waitWithoutChanges(waitMs: number, signal: AbortSignal | undefined): Promise<void> {
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
				wakeCallbacks.delete(finish);
				timer.dispose();
				resolve();
			};

			const timer = loop.after(waitMs, finish);
			wakeCallbacks.add(finish);
			signal?.addEventListener('abort', finish, {once: true});
		});
	}

	function open(daemon: string): ObjectApi {
		async function changesSince(kind: string, since: number, until: number, signal: AbortSignal | undefined): Promise<Result<ObjectChanges, Failure>> {
			if (signal?.aborted === true) {
				return err(createOutcomeUnknown('aborted', origin, 'aborted'));
			}

			if (since < oldestRevision) {
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
				return callStore(daemon, 'read', () => ok(objects.get(keyOf(kind, name))), false);
			}

			override async list(kind: string) {
				return callStore(daemon, 'list', () => ok({
					objects: [...objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, object]) => object), revision,
				}), false);
			}

			override async changes(kind: string, since: number, waitMs: number, signal?: AbortSignal) {
				if (cut.has(daemon)) {
					await waitWithoutChanges(waitMs + NO_ANSWER_MS, signal);
					return err(createOutcomeUnknown('unavailable', origin, 'no answer'));
				}

				calls.set('changes', (calls.get('changes') ?? 0) + 1);
				await loop.sleep(CALL_LATENCY_MS);
				return changesSince(kind, since, waitMs, signal);
			}

			override async create({kind, name}: ApiObjectId, spec: unknown) {
				return callStore(daemon, 'create', () => (objects.has(keyOf(kind, name))
					? err(conflict())
					: ok(change(kind, {
						name, revision: 0, spec: structuredClone(spec), status: undefined,
					}, false))), true);
			}

			override async replace({kind, name}: ApiObjectId, spec: unknown, ifRevision: number) {
				return callStore(daemon, 'replace', () => {
					const found = objects.get(keyOf(kind, name));
					return found?.revision === ifRevision ? ok(change(kind, {...found, spec: structuredClone(spec)}, false)) : err(conflict());
				}, true);
			}

			override async replaceStatus({kind, name}: ApiObjectId, status: unknown) {
				return callStore(daemon, 'replaceStatus', () => {
					const found = objects.get(keyOf(kind, name));
					return found === undefined ? err(createNotRun('notFound', origin, 'no such object')) : ok(change(kind, {...found, status}, false));
				}, true);
			}

			override async remove({kind, name}: ApiObjectId) {
				return callStore(daemon, 'remove', () => {
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
		partitioned: cut,
		loseNextWrite,
		delayNextWrite,
		calls,
		compact() {
			oldestRevision = revision;
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
		findAll: kind => [...objects].filter(([key]) => key.startsWith(keyOf(kind, ''))).map(([, object]) => object),
	};
}
