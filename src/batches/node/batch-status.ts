/** Tells from the last read of a batch's log whether requests may be sent for the batch. */
import type {Clock} from '../../base/common/clock.js';
import type {Log} from '../../kernel/common/log.js';
import type {Metrics} from '../../kernel/common/metrics.js';
import type {SendPath, WorkState, WorkStatus} from '../../gateway/common/work-status.js';
import type {LogWriter} from './log-writer.js';

/** The status of one batch at its owner. */
export type BatchStatus = WorkStatus & {
	/** Reads the log; calls at the same time share one read. */
	readonly confirm: () => Promise<void>;
	/** Monotonic time of the last confirmation by a write, or of the end of a later read, whether or not it has failed. */
	readonly attemptedAt: () => number;
};

/** Dependencies of the status. */
export type BatchStatusDependencies = {
	readonly writer: Pick<LogWriter, 'catchUp' | 'confirmedAt'>;
	/** Whether this daemon knows that the batch has ended, or no longer owns it. */
	readonly isLost: () => boolean;
	/** Monotonic time at which the VM was last resumed: earlier confirmations may be older than they seem. A jump of the wall clock looks the same. */
	readonly resumedAt: () => number;
	/** Time after the end of a batch from which no request for it may reach a server any more, in milliseconds. */
	readonly cancelMs: number;
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
};

/** Share of `cancelMs` for which a confirmation counts. The rest covers the connections to a daemon that relays a request, and to the server. */
const CONFIRMATION_SHARE = 0.8;
/** Reads for one refresh: one that was under way before a pause may have been answered before it. */
const READS_PER_REFRESH = 2;

type LogRead = {
	readonly startedAt: number;
	readonly endedAt: number;
	readonly hasFailed: boolean;
};

/** Creates the status of a batch. */
export function createBatchStatus(batchId: string, {writer, isLost, resumedAt, cancelMs, clock, log, metrics}: BatchStatusDependencies): BatchStatus {
	let lastRead: LogRead | undefined;
	let underWay: Promise<void> | undefined;
	/** Requests that wait for the read which is under way. */
	let waiting = 0;

	/** A jump of the wall clock must not delay all sends, so suspensions count only where daemons that were not suspended send. */
	const trustedSince = (path: SendPath): number => (path === 'relayed' ? resumedAt() : Number.NEGATIVE_INFINITY);

	function read(path: SendPath, now: number): WorkState {
		if (isLost()) {
			return {kind: 'ended'};
		}

		const confirmedAt = writer.confirmedAt();
		const since = trustedSince(path);
		const beginWithinMs = confirmedAt + (cancelMs * CONFIRMATION_SHARE) - now;
		if (beginWithinMs > 0 && confirmedAt >= since) {
			return {kind: 'confirmed', beginWithinMs};
		}

		return lastRead?.hasFailed === true && lastRead.startedAt >= Math.max(since, confirmedAt) ? {kind: 'unconfirmed'} : {kind: 'outdated'};
	}

	async function readLog(): Promise<void> {
		const startedAt = clock.monotonic();
		const caughtUp = await writer.catchUp();
		const now = clock.monotonic();
		lastRead = {startedAt, endedAt: now, hasFailed: caughtUp.isErr()};
		if (caughtUp.isErr()) {
			log.info('batch log not confirmed', {batchId, code: caughtUp.error.code, reason: caughtUp.error.message});
		}

		if (waiting > 0) {
			const {kind} = read('direct', now);
			log.info('batch log is read before requests are sent', {batchId, requests: waiting, outcome: kind});
			metrics.count('batch.confirmed_before_send', waiting, {outcome: kind});
			waiting = 0;
		}
	}

	async function confirm(): Promise<void> {
		underWay ??= readLog().finally(() => {
			underWay = undefined;
		});
		return underWay;
	}

	async function refresh(path: SendPath, readsLeft = READS_PER_REFRESH): Promise<void> {
		if (readsLeft === 0 || read(path, clock.monotonic()).kind !== 'outdated') {
			return;
		}

		waiting += 1;
		await confirm();
		return refresh(path, readsLeft - 1);
	}

	return {
		read,
		refresh: async path => refresh(path),
		confirm,
		attemptedAt: () => Math.max(writer.confirmedAt(), lastRead?.endedAt ?? Number.NEGATIVE_INFINITY),
	};
}
