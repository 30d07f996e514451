/** Appends to the log of one batch. A place that another daemon took is read, applied, and the append goes to the next. */
import PQueue from 'p-queue';
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import type {Clock} from '../../base/common/clock.js';
import type {Log} from '../../kernel/common/log.js';
import type {ObjectApi} from '../../adapters/common/object-api.js';
import {nameOfRecord, type BatchLog} from '../common/batch-log.js';
import type {LogRecord} from '../common/batch.js';

/** Builds the record for the place that the log has reached; undefined when nothing is left to write. */
export type RecordSource = (writeId: string) => LogRecord | undefined;

/** Appends to one log. */
export type LogWriter = {
	/** Appends a record once; fails when the store is out of reach, with the log as it was. */
	readonly append: (source: RecordSource) => Promise<Result<void, Failure>>;
	/** Reads records that others may have appended. */
	readonly catchUp: () => Promise<Result<void, Failure>>;
	/** Monotonic time at which the store last showed that this daemon knows the whole log. */
	readonly confirmedAt: () => number;
};

/** What a writer works with. */
export type LogWriterParts = {
	readonly api: ObjectApi;
	readonly clock: Clock;
	readonly log: Log;
	/** Distinguishes the writes of this run of the process. */
	readonly incarnation: string;
	/** Monotonic time at which the log was known to be empty, for a batch that was just created. */
	readonly createdAt?: number;
	/** Called after each record that was applied. */
	readonly onDidApply: (record: LogRecord) => void;
};

/** Kind of the objects that hold a batch's log. */
export function kindOfLog(batchId: string): string {
	return `batch-log-${batchId}`;
}

/** Reads a record; undefined when another version or a stranger wrote it. */
export function readRecord(spec: unknown): LogRecord | undefined {
	// Only daemons write to this kind.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	const record = spec as Partial<LogRecord> | undefined;
	const isRecord = record !== null && typeof record === 'object' && (record.type === 'results' || record.type === 'owner' || record.type === 'end');
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	return isRecord ? record as LogRecord : undefined;
}

/** Creates a writer of a log. */
export function createLogWriter(batchId: string, batchLog: BatchLog, parts: LogWriterParts): LogWriter {
	const {
		api, clock, log, incarnation, onDidApply,
	} = parts;
	const kind = kindOfLog(batchId);
	const queue = new PQueue({concurrency: 1});
	let confirmedAt = parts.createdAt ?? Number.NEGATIVE_INFINITY;
	let writes = 0;

	function take(record: LogRecord): void {
		batchLog.apply(record);
		onDidApply(record);
	}

	async function readNext(): Promise<Result<LogRecord | undefined, Failure>> {
		const startedAt = clock.monotonic();
		const place = batchLog.length();
		const found = await api.read({kind, name: nameOfRecord(place)});
		return found.andThen(object => {
			if (object === undefined) {
				confirmedAt = startedAt;
				return ok(undefined);
			}

			const record = readRecord(object.spec);
			if (record === undefined) {
				return err(createNotRun('invalid', {step: 'read batch log', peer: `${kind}/${object.name}`}, 'the record is of no known type'));
			}

			take(record);
			return ok(record);
		});
	}

	async function readAll(): Promise<Result<void, Failure>> {
		const next = await readNext();
		if (next.isErr()) {
			return err(next.error);
		}

		return next.value === undefined ? ok() : readAll();
	}

	async function appendNow(source: RecordSource, ownWrites: readonly string[]): Promise<Result<void, Failure>> {
		writes += 1;
		const writeId = `${incarnation}.${writes}`;
		const record = source(writeId);
		if (record === undefined) {
			return ok();
		}

		const startedAt = clock.monotonic();
		const created = await api.create({kind, name: nameOfRecord(batchLog.length())}, record);
		if (created.isOk()) {
			confirmedAt = startedAt;
			take(record);
			return ok();
		}

		if (created.error.code !== 'conflict') {
			return err(created.error);
		}

		const found = await readNext();
		if (found.isErr()) {
			return err(found.error);
		}

		// An earlier write of this record may have taken effect although its answer was lost.
		const isOwn = found.value !== undefined && [...ownWrites, writeId].includes(found.value.writeId);
		log.debug('place in the batch log was taken', {
			batchId, place: batchLog.length() - 1, isOwn, type: found.value?.type,
		});
		return isOwn ? ok() : appendNow(source, [...ownWrites, writeId]);
	}

	return {
		append: async source => queue.add(async () => appendNow(source, [])),
		catchUp: async () => queue.add(async () => readAll()),
		confirmedAt: () => confirmedAt,
	};
}
