/**
 * Follows all objects of one kind: lists them once, then requests changes by long polls. A listener always gets the complete
 * set of objects. Changes are compared by revision, so that a listener never sees an older state after a newer one.
 */
import type {Failure} from '../../base/common/failure.js';
import type {Disposable} from '../../base/common/disposable.js';
import {jitter, type Random} from '../../base/common/random.js';
import type {Clock} from '../../base/common/clock.js';
import type {Log} from '../../kernel/common/log.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {ApiObject, ObjectApi, ObjectChange} from '../../adapters/common/object-api.js';

/** The kind to follow, the times of its polls, and the listeners. */
export type KindFollowerOptions = {
	readonly kind: string;
	/** Maximum time that one poll waits at the store. */
	readonly waitMs: number;
	/** Minimum time between the starts of two polls, so that one poll returns several frequent changes. */
	readonly minimumPollIntervalMs: number;
	/** Called with all objects of the kind after they have changed. */
	readonly onObjects: (objects: ReadonlyMap<string, ApiObject>, now: number) => void;
	/** Called after each response or failure of the store. */
	readonly onConnectivity?: (isReachable: boolean, now: number) => void;
};

/** Dependencies of a follower. */
export type KindFollowerDependencies = {
	readonly api: ObjectApi;
	readonly clock: Clock;
	readonly loop: Loop;
	readonly random: Random;
	readonly log: Log;
};

/** Delay after the first failure in a row, short because a healthy store occasionally aborts polls. */
const FIRST_RETRY_MS = 60;
/** Increase of the delay with each further failure, up to the maximum. */
const RETRY_STEP_MS = 400;
const MAXIMUM_RETRY_MS = 1200;
const RETRY_JITTER_SHARE = 0.3;

function applyChanges(objects: ReadonlyMap<string, ApiObject>, changes: readonly ObjectChange[]): ReadonlyMap<string, ApiObject> {
	const next = new Map(objects);
	changes.forEach(({object, isDeleted}) => {
		const known = next.get(object.name);
		if (known !== undefined && known.revision > object.revision) {
			return;
		}

		if (isDeleted) {
			next.delete(object.name);
			return;
		}

		next.set(object.name, object);
	});
	return next;
}

/** Follows a kind until disposed. */
export function followKind(options: KindFollowerOptions, dependencies: KindFollowerDependencies): Disposable {
	const {
		api, clock, loop, random, log,
	} = dependencies;
	let objects: ReadonlyMap<string, ApiObject> = new Map();
	let revision: number | undefined;
	let failures = 0;
	/** Whether to list all objects without delay, because the store no longer has the history since `revision` and changes may have been missed. */
	let mustListImmediately = false;
	let isActive = true;

	function handleFailure(failure: Failure): void {
		if (failure.code === 'stale') {
			log.info('history of objects is gone', {kind: options.kind, revision});
			revision = undefined;
			mustListImmediately = true;
			return;
		}

		failures += 1;
		if (failures === 1) {
			log.warn('lost the object store', {kind: options.kind, code: failure.code, reason: failure.message});
		}

		options.onConnectivity?.(false, clock.monotonic());
	}

	function applyObjects(next: ReadonlyMap<string, ApiObject>, at: number): void {
		if (failures > 0) {
			log.info('regained the object store', {kind: options.kind, failures});
		}

		failures = 0;
		options.onConnectivity?.(true, clock.monotonic());
		const changed = next !== objects || revision === undefined;
		objects = next;
		revision = at;
		if (changed) {
			options.onObjects(objects, clock.monotonic());
		}
	}

	async function poll(): Promise<void> {
		if (revision === undefined) {
			const listed = await api.list(options.kind);
			listed.match(listing => {
				applyObjects(new Map(listing.objects.map(object => [object.name, object])), listing.revision);
			}, handleFailure);
			return;
		}

		const polled = await api.changes(options.kind, revision, options.waitMs);
		polled.match(({changes, revision: at}) => {
			applyObjects(changes.length === 0 ? objects : applyChanges(objects, changes), at);
		}, handleFailure);
	}

	function chooseDelayMs(startedAt: number): number {
		if (mustListImmediately) {
			return 0;
		}

		if (failures > 0) {
			return jitter(failures === 1 ? FIRST_RETRY_MS : Math.min(MAXIMUM_RETRY_MS, RETRY_STEP_MS * (failures - 1)), RETRY_JITTER_SHARE, random);
		}

		return Math.max(0, options.minimumPollIntervalMs - (clock.monotonic() - startedAt));
	}

	async function run(): Promise<void> {
		if (!isActive) {
			return;
		}

		const startedAt = clock.monotonic();
		mustListImmediately = false;
		await poll();
		loop.after(chooseDelayMs(startedAt), () => {
			void run();
		});
	}

	void run();
	return {
		dispose() {
			isActive = false;
		},
	};
}
