/** Writes the audit trail to the store in batches and reads it back merged and in order. */
import {
	err, ok, type Result,
} from 'neverthrow';
import {z} from 'zod';
import type {Clock} from '../../base/common/clock.js';
import {joinDisposables, type Disposable} from '../../base/common/disposable.js';
import {formatFailure, type Failure} from '../../base/common/failure.js';
import type {Log} from '../../kernel/common/log.js';
import type {Loop} from '../../kernel/common/loop.js';
import {writeSettled} from '../../adapters/common/settled-write.js';
import type {Store, StoredObject} from '../../adapters/common/store.js';
import {
	createAuditQueue, listHours, type AuditBatch,
} from './audit-queue.js';
import type {Audit, AuditEntry, AuditQuery} from './audit.js';

/** What the audit trail runs on. */
export type AuditOptions = {
	readonly daemonId: string;
	readonly store: Store;
	readonly loop: Loop;
	readonly clock: Clock;
	readonly log: Log;
};

/** Time between two writes of the queue. */
const FLUSH_MS = 2000;

/** Wait of the first entry after a quiet time, so that the entries of one step share a write. */
const LINGER_MS = 100;

/** Tries of the last flush, and the wait between them. */
const LAST_FLUSH_TRIES = 3;
const LAST_FLUSH_WAIT_MS = 500;

/** How long entries are kept. */
export const RETENTION_MS = 48 * 3_600_000;

/** Time between two sweeps of entries past their retention. */
const SWEEP_MS = 3_600_000;

/** Hours before the end of retention that one sweep looks at, for hours in which no sweep ran. */
const SWEEP_SPAN_MS = 3 * 3_600_000;

/** Actions of newer versions are passed on as they are. */
const action = z.custom<AuditEntry['action']>(value => typeof value === 'string');

/** An entry as stored. */
export const storedEntrySchema = z.object({
	id: z.string(),
	at: z.number(),
	actor: z.string(),
	action,
	subject: z.string(),
	fromVersion: z.number().optional(),
	toVersion: z.number().optional(),
	fencing: z.number().optional(),
	detail: z.string(),
}).transform(({fromVersion, toVersion, fencing, ...entry}): AuditEntry => ({
	...entry, fromVersion, toVersion, fencing,
}));

const storedBatch = z.object({entries: z.array(storedEntrySchema)});

function parseBatch(object: StoredObject): readonly AuditEntry[] {
	try {
		return storedBatch.parse(JSON.parse(object.value)).entries;
	} catch {
		return [];
	}
}

/** Merges entries from several places: each once, in order of time. */
export function mergeEntries(entries: readonly AuditEntry[], query: AuditQuery): readonly AuditEntry[] {
	const byId = new Map(entries.map(entry => [entry.id, entry]));
	return [...byId.values()]
		.filter(entry => entry.at >= query.since)
		.toSorted((a, b) => a.at - b.at || (a.id < b.id ? -1 : 1))
		.slice(0, query.limit);
}

/** The audit trail with the controls of its daemon. */
export type AuditService = Audit & Disposable & {
	/** Writes what is queued before the daemon ends, with a few tries. */
	readonly drain: () => Promise<Result<void, Failure>>;
};

/** Creates the audit trail of one daemon. */
export function createAuditService(options: AuditOptions): AuditService {
	const {daemonId, store, clock, loop, log} = options;
	const writer = `${daemonId}@${clock.wall()}`;
	const queue = createAuditQueue(writer.replace('@', '.'));
	const sources: Array<() => readonly AuditEntry[]> = [];
	let lastEntry = 0;
	let reportedDropped = 0;
	let triedAt = Number.NEGATIVE_INFINITY;

	async function writeBatch(batch: AuditBatch): Promise<Result<void, Failure>> {
		triedAt = clock.monotonic();
		const written = await writeSettled(store, {
			kind: 'audit',
			name: batch.name,
			value: JSON.stringify({entries: batch.entries}),
			ifVersion: 0,
			writeId: {writer, sequence: batch.name},
		});
		// The name is unique, so a conflict means that an earlier try took effect.
		if (written.isOk() || written.error.code === 'conflict') {
			queue.markWritten(batch.name);
			return ok();
		}

		return err(written.error);
	}

	async function flush(): Promise<Result<void, Failure>> {
		const initial: Promise<Result<void, Failure>> = Promise.resolve(ok());
		return queue.batches().reduce(async (previous, batch) => {
			const before = await previous;
			return before.isErr() ? before : writeBatch(batch);
		}, initial);
	}

	async function flushPeriodically(): Promise<void> {
		const flushed = await flush();
		if (flushed.isErr()) {
			log.debug('audit entries not written', {failure: formatFailure(flushed.error)});
		}

		if (queue.dropped() > reportedDropped) {
			log.error('audit entries dropped', {step: 'write audit', peer: 'self', dropped: queue.dropped() - reportedDropped});
			reportedDropped = queue.dropped();
		}
	}

	/** Writes soon after a quiet time, so that only the entries of a busy one wait for the period. */
	function flushSoon(): void {
		if (clock.monotonic() - triedAt >= FLUSH_MS) {
			triedAt = clock.monotonic();
			loop.after(LINGER_MS, () => {
				void flushPeriodically();
			});
		}
	}

	async function drain(triesLeft: number): Promise<Result<void, Failure>> {
		const flushed = await flush();
		if (flushed.isOk() || triesLeft <= 1) {
			return flushed;
		}

		await loop.sleep(LAST_FLUSH_WAIT_MS);
		return drain(triesLeft - 1);
	}

	/** Lists hour by hour until enough entries are found. */
	async function readHours(hours: readonly string[], limit: number): Promise<Result<readonly AuditEntry[], Failure>> {
		const [hour, ...others] = hours;
		if (hour === undefined || limit <= 0) {
			return ok([]);
		}

		const listed = await store.list('audit', hour);
		if (listed.isErr()) {
			return err(listed.error);
		}

		const entries = listed.value.flatMap(object => parseBatch(object));
		const later = await readHours(others, limit - entries.length);
		return later.map(found => [...entries, ...found]);
	}

	async function sweep(): Promise<void> {
		const end = clock.wall() - RETENTION_MS;
		const hours = listHours(end - SWEEP_SPAN_MS, end - SWEEP_MS);
		await hours.reduce(async (previous, hour) => {
			await previous;
			const listed = await store.list('audit', hour);
			await Promise.all(listed.unwrapOr([]).map(async object => store.remove({kind: 'audit', name: object.name, ifVersion: object.version})));
		}, Promise.resolve());
	}

	const running = joinDisposables([
		loop.every({
			name: 'write audit', periodMs: FLUSH_MS, jitterShare: 0.3, run: flushPeriodically,
		}),
		loop.every({
			name: 'sweep audit', periodMs: SWEEP_MS, jitterShare: 0.3, run: sweep,
		}),
	]);

	return {
		record(entry) {
			lastEntry += 1;
			queue.add([{...entry, id: `${writer}.${lastEntry}`, at: clock.wall()}]);
			flushSoon();
		},
		copy(entries) {
			queue.add(entries);
		},
		addSource(source) {
			sources.push(source);
		},
		flush,
		drain: async () => drain(LAST_FLUSH_TRIES),
		async read(query) {
			const now = clock.wall();
			const hours = listHours(Math.max(query.since, now - RETENTION_MS), now);
			const stored = await readHours(hours, query.limit);
			const local = [...queue.waiting(), ...sources.flatMap(source => source())];
			return stored.map(entries => mergeEntries([...local, ...entries], query));
		},
		dispose() {
			running.dispose();
		},
	};
}

