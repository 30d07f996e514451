/** Writes the audit trail to the store in batches, and reads it merged and in order of time. */
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

/** Settings and dependencies of the audit trail. */
export type AuditOptions = {
	readonly daemonId: string;
	readonly store: Store;
	readonly loop: Loop;
	readonly clock: Clock;
	readonly log: Log;
};

/** Interval of writes of the queue. */
const FLUSH_INTERVAL_MS = 2000;

/** Delay of the write of the first entry after `FLUSH_INTERVAL_MS` without a write, so that the entries of one step share a write. */
const FIRST_FLUSH_DELAY_MS = 100;

/** Attempts to write the queue before the daemon stops, and the delay between them. */
const MAXIMUM_DRAIN_ATTEMPTS = 3;
const DRAIN_RETRY_MS = 500;

/** Time for which entries are kept. */
export const RETENTION_MS = 48 * 3_600_000;

/** Interval of sweeps, which remove entries past their retention. */
const SWEEP_INTERVAL_MS = 3_600_000;

/** Length of the time before the retention limit that one sweep covers, so that hours in which no sweep ran are covered as well. */
const SWEPT_SPAN_MS = 3 * 3_600_000;

/** Actions that only newer versions know are kept unchanged. */
const action = z.custom<AuditEntry['action']>(value => typeof value === 'string');

/** Schema of a stored entry. */
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

const storedBatchSchema = z.object({entries: z.array(storedEntrySchema)});

function parseBatch(object: StoredObject): readonly AuditEntry[] {
	try {
		return storedBatchSchema.parse(JSON.parse(object.value)).entries;
	} catch {
		return [];
	}
}

/** Merges entries from several sources: each once, in order of time. */
export function mergeEntries(entries: readonly AuditEntry[], query: AuditQuery): readonly AuditEntry[] {
	const byId = new Map(entries.map(entry => [entry.id, entry]));
	return [...byId.values()]
		.filter(entry => entry.at >= query.since)
		.toSorted((a, b) => a.at - b.at || (a.id < b.id ? -1 : 1))
		.slice(0, query.limit);
}

/** The audit trail with the functions that its daemon calls when it stops. */
export type AuditService = Audit & Disposable & {
	/** Writes the queue before the daemon stops, in up to `MAXIMUM_DRAIN_ATTEMPTS` attempts. */
	readonly drain: () => Promise<Result<void, Failure>>;
};

/** Creates the audit trail of one daemon. */
export function createAuditService(options: AuditOptions): AuditService {
	const {daemonId, store, clock, loop, log} = options;
	const writer = `${daemonId}@${clock.wall()}`;
	const queue = createAuditQueue(writer.replace('@', '.'));
	const sources: Array<() => readonly AuditEntry[]> = [];
	let lastEntryNumber = 0;
	let reportedDropped = 0;
	let lastFlushAt = Number.NEGATIVE_INFINITY;

	async function writeBatch(batch: AuditBatch): Promise<Result<void, Failure>> {
		lastFlushAt = clock.monotonic();
		const written = await writeSettled(store, {
			kind: 'audit',
			name: batch.name,
			value: JSON.stringify({entries: batch.entries}),
			ifVersion: 0,
			writeId: {writer, sequence: batch.name},
		});
		// The name is unique, so a conflict means that an earlier attempt took effect.
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

	/** Schedules a write after `FIRST_FLUSH_DELAY_MS` if none ran within `FLUSH_INTERVAL_MS`, so that entries wait for the period only while many are recorded. */
	function scheduleFlush(): void {
		if (clock.monotonic() - lastFlushAt >= FLUSH_INTERVAL_MS) {
			lastFlushAt = clock.monotonic();
			loop.after(FIRST_FLUSH_DELAY_MS, () => {
				void flushPeriodically();
			});
		}
	}

	async function drain(attemptsLeft: number): Promise<Result<void, Failure>> {
		const flushed = await flush();
		if (flushed.isOk() || attemptsLeft <= 1) {
			return flushed;
		}

		await loop.sleep(DRAIN_RETRY_MS);
		return drain(attemptsLeft - 1);
	}

	/** Reads the batches hour by hour until `limit` entries are found. */
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
		const hours = listHours(end - SWEPT_SPAN_MS, end - SWEEP_INTERVAL_MS);
		await hours.reduce(async (previous, hour) => {
			await previous;
			const listed = await store.list('audit', hour);
			await Promise.all(listed.unwrapOr([]).map(async object => store.remove({kind: 'audit', name: object.name, ifVersion: object.version})));
		}, Promise.resolve());
	}

	const tasks = joinDisposables([
		loop.every({
			name: 'write audit', periodMs: FLUSH_INTERVAL_MS, jitterShare: 0.3, run: flushPeriodically,
		}),
		loop.every({
			name: 'sweep audit', periodMs: SWEEP_INTERVAL_MS, jitterShare: 0.3, run: sweep,
		}),
	]);

	return {
		record(entry) {
			lastEntryNumber += 1;
			queue.add([{...entry, id: `${writer}.${lastEntryNumber}`, at: clock.wall()}]);
			scheduleFlush();
		},
		queueCopies(entries) {
			queue.add(entries);
		},
		addSource(source) {
			sources.push(source);
		},
		flush,
		drain: async () => drain(MAXIMUM_DRAIN_ATTEMPTS),
		async read(query) {
			const now = clock.wall();
			const hours = listHours(Math.max(query.since, now - RETENTION_MS), now);
			const stored = await readHours(hours, query.limit);
			const local = [...queue.waiting(), ...sources.flatMap(source => source())];
			return stored.map(entries => mergeEntries([...local, ...entries], query));
		},
		dispose() {
			tasks.dispose();
		},
	};
}

