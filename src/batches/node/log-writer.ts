/** Appends to the log of one batch. When another daemon has already written the next position, the writer applies that record and appends at the one after it. */
import PQueue from 'p-queue';
import {err, ok, type Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import type {Clock} from '../../base/common/clock.js';
import type {Log} from '../../kernel/common/log.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {ApiObject, ObjectApi} from '../../adapters/common/object-api.js';
import {nameOfRecord, type BatchLog} from '../common/batch-log.js';
import type {LogRecord} from '../common/batch.js';
import {decodeLogRecord} from '../common/batch-schemas.js';

/** Builds the next record from the current state of the log; undefined when there is nothing to write. */
export type RecordSource = (writeId: string) => LogRecord | undefined;

/** The writer of one log. */
export type LogWriter = {
	/** Appends a record exactly once. Fails when the store is unreachable; the local log is then unchanged. */
	readonly append: (source: RecordSource) => Promise<Result<void, Failure>>;
	/** Reads and applies the records that other daemons have appended. */
	readonly catchUp: () => Promise<Result<void, Failure>>;
	/** Reads the log unless the store has confirmed it since a monotonic time. Calls at the same time share one read. */
	readonly confirmSince: (since: number) => Promise<Result<void, Failure>>;
	/** Whether the store may have done a write of this daemon, or may still do it, that the local log lacks. */
	readonly hasUnsettledWrite: () => boolean;
	/** Monotonic time at which the store last confirmed that this daemon knows the complete log. */
	readonly confirmedAt: () => number;
};

/** Dependencies of a writer. */
export type LogWriterDependencies = {
	readonly api: ObjectApi;
	readonly clock: Clock;
	readonly log: Log;
	/** Identifies this run of the process, which makes the ids of its writes unique. */
	readonly incarnation: string;
	/** Monotonic time at which the log was known to be empty; only for a batch that was just created. */
	readonly createdAt?: number;
	/** Called after a record was applied. */
	readonly onDidApply: (record: LogRecord) => void;
	/** Called when the store has confirmed that this daemon knows the complete log. */
	readonly onDidConfirm: () => void;
	readonly loop: Pick<Loop, 'after'>;
};

/**
 * While the outcome of a write is unknown, the log is read at this interval, and so often at most: the store may do a write seconds later.
 * The write cannot take effect any more once another record has its position.
 */
const SETTLE_PERIOD_MS = 1000;
const MAXIMUM_SETTLE_READS = 10;

/** Kind of the objects that hold a batch's log. */
export function kindOfLog(batchId: string): string {
	return `batch-log-${batchId}`;
}

/** Reads a record. One of a type that a later build may write has its position in the log, and no effect. */
export function readRecord({name, spec}: ApiObject, log: Log): LogRecord {
	const record = decodeLogRecord(spec);
	if (record === undefined) {
		log.warn('record of a batch log can not be decoded', {position: name});
	}

	return record ?? {type: 'unknown', writeId: ''};
}

/** Creates a writer of a log. */
export function createLogWriter(batchId: string, batchLog: BatchLog, dependencies: LogWriterDependencies): LogWriter {
	const {
		api, clock, loop, log, incarnation, onDidApply, onDidConfirm,
	} = dependencies;
	const kind = kindOfLog(batchId);
	const queue = new PQueue({concurrency: 1});
	let confirmedAt = dependencies.createdAt ?? Number.NEGATIVE_INFINITY;
	let writes = 0;
	/** Positions of writes whose outcome is unknown. */
	const unsettled = new Set<number>();

	function applyRecord(record: LogRecord): void {
		batchLog.apply(record);
		onDidApply(record);
	}

	async function readNext(): Promise<Result<LogRecord | undefined, Failure>> {
		const startedAt = clock.monotonic();
		const position = batchLog.length();
		const found = await api.read({kind, name: nameOfRecord(position)});
		return found.andThen(object => {
			if (object === undefined) {
				confirmedAt = startedAt;
				return ok(undefined);
			}

			const record = readRecord(object, log);
			applyRecord(record);
			return ok(record);
		});
	}

	async function readAll(): Promise<Result<void, Failure>> {
		const next = await readNext();
		if (next.isErr()) {
			return err(next.error);
		}

		if (next.value !== undefined) {
			return readAll();
		}

		onDidConfirm();
		return ok();
	}

	/** Reads the log until a record has the position of a write whose outcome is unknown. */
	function settleLater(position: number, readsLeft: number): void {
		loop.after(SETTLE_PERIOD_MS, () => {
			if (batchLog.length() > position || readsLeft === 0) {
				unsettled.delete(position);
				log.info('write to the batch log is settled', {batchId, position, outcome: batchLog.length() > position ? 'written' : 'not written'});
				return;
			}

			settleLater(position, readsLeft - 1);
			void queue.add(readAll);
		});
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
			applyRecord(record);
			onDidConfirm();
			return ok();
		}

		if (created.error.code !== 'conflict') {
			if (created.error.effect === 'outcomeUnknown') {
				unsettled.add(batchLog.length());
				settleLater(batchLog.length(), MAXIMUM_SETTLE_READS);
			}

			return err(created.error);
		}

		const found = await readNext();
		if (found.isErr()) {
			return err(found.error);
		}

		// An earlier write of this record may have taken effect although its response was lost.
		const isOwn = found.value !== undefined && [...ownWrites, writeId].includes(found.value.writeId);
		log.debug('position in the batch log already written', {
			batchId, place: batchLog.length() - 1, isOwn, type: found.value?.type,
		});
		return isOwn ? readAll() : appendNow(source, [...ownWrites, writeId]);
	}

	return {
		append: async source => queue.add(async () => appendNow(source, [])),
		catchUp: async () => queue.add(async () => readAll()),
		async confirmSince(since) {
			const isConfirmed = (): boolean => confirmedAt >= since;
			return isConfirmed() ? ok() : queue.add(async () => (isConfirmed() ? ok() : readAll()));
		},
		hasUnsettledWrite: () => [...unsettled].some(position => batchLog.length() <= position),
		confirmedAt: () => confirmedAt,
	};
}
