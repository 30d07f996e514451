/**
 * Follows all objects of one kind: lists them once, then asks for changes by long polls. Objects are handed on in whole,
 * with the revision of the store, so that a listener never sees an older state after a newer one.
 */
import type {Failure} from '../../base/common/failure.js';
import type {Disposable} from '../../base/common/disposable.js';
import {jitter, type Random} from '../../base/common/random.js';
import type {Clock} from '../../base/common/clock.js';
import type {Log} from '../../kernel/common/log.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {ApiObject, ObjectApi, ObjectChange} from '../../adapters/common/object-api.js';

/** What to follow and how often to ask. */
export type KindInterest = {
	readonly kind: string;
	/** Longest time that one poll waits at the store. */
	readonly waitMs: number;
	/** Shortest time between two polls, so that frequent changes are answered together. */
	readonly gatherMs: number;
	readonly onObjects: (objects: ReadonlyMap<string, ApiObject>, now: number) => void;
	/** Called after each answer or failure of the store. */
	readonly onReach?: (isReached: boolean, now: number) => void;
};

/** What a follower works with. */
export type FollowerParts = {
	readonly api: ObjectApi;
	readonly clock: Clock;
	readonly loop: Loop;
	readonly random: Random;
	readonly log: Log;
};

/** Pause after the first failure in a row: a store that is well cuts polls off now and then. */
const FIRST_RETRY_MS = 60;
const RETRY_MS = 400;
const LONGEST_RETRY_MS = 1200;
const RETRY_JITTER = 0.3;

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

/** Starts to follow a kind until disposed. */
export function followKind(interest: KindInterest, parts: FollowerParts): Disposable {
	const {
		api, clock, loop, random, log,
	} = parts;
	let objects: ReadonlyMap<string, ApiObject> = new Map();
	let revision: number | undefined;
	let failures = 0;
	/** The next call follows at once: the history that polls rest on is gone, and changes may have been missed. */
	let mustList = false;
	let isOpen = true;

	function noteFailure(failure: Failure): void {
		if (failure.code === 'stale') {
			log.info('history of objects is gone', {kind: interest.kind, revision});
			revision = undefined;
			mustList = true;
			return;
		}

		failures += 1;
		if (failures === 1) {
			log.warn('lost the object store', {kind: interest.kind, code: failure.code, reason: failure.message});
		}

		interest.onReach?.(false, clock.monotonic());
	}

	function noteAnswer(next: ReadonlyMap<string, ApiObject>, at: number): void {
		if (failures > 0) {
			log.info('regained the object store', {kind: interest.kind, failures});
		}

		failures = 0;
		interest.onReach?.(true, clock.monotonic());
		const changed = next !== objects || revision === undefined;
		objects = next;
		revision = at;
		if (changed) {
			interest.onObjects(objects, clock.monotonic());
		}
	}

	async function ask(): Promise<void> {
		if (revision === undefined) {
			const listed = await api.list(interest.kind);
			listed.match(listing => {
				noteAnswer(new Map(listing.objects.map(object => [object.name, object])), listing.revision);
			}, noteFailure);
			return;
		}

		const answered = await api.changes(interest.kind, revision, interest.waitMs);
		answered.match(({changes, revision: at}) => {
			noteAnswer(changes.length === 0 ? objects : applyChanges(objects, changes), at);
		}, noteFailure);
	}

	function choosePause(startedAt: number): number {
		if (mustList) {
			return 0;
		}

		if (failures > 0) {
			return jitter(failures === 1 ? FIRST_RETRY_MS : Math.min(LONGEST_RETRY_MS, RETRY_MS * (failures - 1)), RETRY_JITTER, random);
		}

		return Math.max(0, interest.gatherMs - (clock.monotonic() - startedAt));
	}

	async function run(): Promise<void> {
		if (!isOpen) {
			return;
		}

		const startedAt = clock.monotonic();
		mustList = false;
		await ask();
		loop.after(choosePause(startedAt), () => {
			void run();
		});
	}

	void run();
	return {
		dispose() {
			isOpen = false;
		},
	};
}
