/** Owns one batch: runs its items, scores them, and writes results to the batch's log until the batch ends or another daemon takes it over. */
import type {Disposable} from '../../base/common/disposable.js';
import type {DeploymentHolder, Route} from '../../gateway/common/deployment.js';
import type {
	Batch, BatchItem, ItemResult, LogRecord, PartialText,
} from '../common/batch.js';
import type {BatchLog} from '../common/batch-log.js';
import {
	countCompleteGroups, isWriteDue, type OpenItem,
} from '../common/run-order.js';
import type {Demand} from '../common/start-priorities.js';
import {createItemOrder} from '../common/item-order.js';
import {chooseTextParts, takeResults} from '../common/text-parts.js';
import {
	createGenerationRun, type GenerationEnd, type GenerationDependencies, type GenerationRun,
} from './generation-runner.js';
import {createBatchStatus, type BatchStatusDependencies} from './batch-status.js';
import {createItemScoring, type ScoringDependencies} from './item-scoring.js';
import type {LogWriter} from './log-writer.js';

/** The owner of one batch. */
export type BatchOwner = Disposable & {
	/** Starts items, moves slow runs and writes results, as far as each is due; called periodically, and when servers may have changed. */
	readonly tick: (now: number) => void;
	/** Stops all runs; returns the text so far, which the next owner continues. */
	readonly release: () => readonly PartialText[];
	readonly isActive: () => boolean;
	/** A number that grows with each event of a run, each finished item and each stored result. */
	readonly progress: () => number;
	/** The waiting items of the batch, which are reported to other owners. */
	readonly demand: (now: number) => Demand;
};

/** Dependencies of an owner. */
export type OwnerDependencies = Omit<GenerationDependencies & ScoringDependencies, 'work'> & Pick<BatchStatusDependencies, 'cancelMs' | 'resumedAt'> & {
	readonly deployment: DeploymentHolder;
	readonly batchLog: BatchLog;
	readonly writer: LogWriter;
	/** Monotonic time at which this daemon became the owner. */
	readonly knownSince: number;
	readonly partials: readonly PartialText[];
	/** Whether another daemon owned the batch before. */
	readonly isTakenOver: boolean;
};

/** Share of the time until it is due that a batch is assumed to have left when it is taken over. */
const TAKEN_OVER_REMAINING_SHARE = 0.5;

type ItemState = {
	readonly item: BatchItem;
	readonly run: GenerationRun;
	phase: 'waiting' | 'running' | 'finished';
};

/** Time since the last confirmation by the store after which the log is read before another item starts. */
const CONFIRMATION_TTL_MS = 1000;
/** Share of `cancelMs` after which the log is read while items run, so that an item whose run fails starts again on another engine without a wait for the store. */
const RUNNING_CONFIRMATION_SHARE = 0.6;
/** Maximum time without a write while items run: it bounds the work lost when the owner crashes, at the cost of calls to the store. */
const TEXT_WRITE_INTERVAL_MS = 2000;
/** Delay before a failed write is repeated. */
const WRITE_RETRY_MS = 300;

/** Creates the owner of a batch; items start at the first `tick`. */
export function createBatchOwner(batch: Batch, dependencies: OwnerDependencies): BatchOwner {
	const {
		deployment, batchLog, writer, clock, loop, log,
	} = dependencies;
	const stop = new AbortController();
	const unwritten = new Map<string, ItemResult>();
	let oldestUnwrittenAt = 0;
	let writtenAt = clock.monotonic();
	let isWriting = false;
	let isConfirming = false;
	const status = createBatchStatus(batch.id, {...dependencies, isLost});
	const itemRoute = (item: BatchItem): Route | undefined => deployment.findRoute(batch.host, item.path) ?? deployment.findRoute(batch.host, batch.path);

	/** The time that the earlier owners of a batch have used is unknown, and assumed by `TAKEN_OVER_REMAINING_SHARE`. */
	const dueAt = dependencies.knownSince + ((itemRoute(batch.items[0]!)?.dueMs ?? 0) * (dependencies.isTakenOver ? TAKEN_OVER_REMAINING_SHARE : 1));
	const order = createItemOrder(batch, dueAt, now => listOpen(now));

	const states: readonly ItemState[] = batch.items.map(item => ({
		item,
		run: createGenerationRun(batch, item, () => itemRoute(item), {
			...dependencies, work: status, priorityOf: (remainingMs, now) => order.priorityOf(item, remainingMs, now),
		}, dependencies.partials.find(partial => partial.itemId === item.id)),
		phase: batchLog.isListed(item.id) ? 'finished' : 'waiting',
	}));

	const byId = new Map(states.map(state => [state.item.id, state]));

	function listOpen(now: number): readonly OpenItem[] {
		return states.filter(state => state.phase !== 'finished').map(state => ({
			id: state.item.id, group: state.item.group, isWaiting: state.phase === 'waiting', remainingMs: state.run.remainingMs(now),
		}));
	}

	const isFinished = (itemId: string): boolean => batchLog.isListed(itemId) || unwritten.has(itemId);

	function isLost(): boolean {
		return stop.signal.aborted || batchLog.isEnded();
	}

	const scorer = createItemScoring(batch.id, {...dependencies, work: status}, stop.signal, isLost);

	function timing(now: number) {
		const written = countCompleteGroups(batch.items, itemId => batchLog.isListed(itemId));
		return {
			waitedMs: now - oldestUnwrittenAt,
			completesGroup: countCompleteGroups(batch.items, isFinished) > written,
			isLast: states.every(state => isFinished(state.item.id)),
		};
	}

	function buildRecord(writeId: string): LogRecord | undefined {
		const results = takeResults([...unwritten.values()].filter(result => !batchLog.isListed(result.id)));
		const texts = states.filter(state => state.phase === 'running' && !isFinished(state.item.id)).map(state => state.run.partial());
		const added = chooseTextParts(texts, batchLog.textOf);
		return results.length + added.length === 0 || isLost()
			? undefined
			: {
				type: 'results', writeId, results, ...(added.length > 0 && {parts: added}),
			};
	}

	async function write(): Promise<void> {
		isWriting = true;
		const written = await writer.append(buildRecord);
		isWriting = false;
		writtenAt = clock.monotonic();
		const stored = [...unwritten.keys()].filter(itemId => batchLog.isListed(itemId));
		if (stored.length > 0) {
			log.info('results stored', {
				batchId: batch.id, itemIds: stored, listed: batchLog.results().length, total: batch.items.length,
			});
			dependencies.metrics.count('results.stored', stored.length);
		}

		stored.forEach(itemId => {
			unwritten.delete(itemId);
		});
		oldestUnwrittenAt = clock.monotonic();
		if (written.isErr()) {
			log.warn('results not stored yet', {
				batchId: batch.id, results: unwritten.size, code: written.error.code, reason: written.error.message,
			});
			loop.after(WRITE_RETRY_MS, writeIfDue);
			return;
		}

		writeIfDue(clock.monotonic());
	}

	function writeIfDue(now: number): void {
		if (isWriting || unwritten.size === 0 || isLost() || !isWriteDue(timing(now))) {
			return;
		}

		void write();
	}

	/** Stores the text of running items when no result has been written for `TEXT_WRITE_INTERVAL_MS`. */
	function writeTexts(now: number): void {
		const hasRunningText = states.some(state => state.phase === 'running' && state.run.partial().lastEventId > 0);
		if (!isWriting && !isLost() && hasRunningText && now - writtenAt >= TEXT_WRITE_INTERVAL_MS) {
			void write();
		}
	}

	function finish(state: ItemState, result: Omit<ItemResult, 'id'>): void {
		state.phase = 'finished';
		if (batchLog.isListed(state.item.id) || isLost()) {
			return;
		}

		oldestUnwrittenAt = unwritten.size === 0 ? clock.monotonic() : oldestUnwrittenAt;
		unwritten.set(state.item.id, {id: state.item.id, ...result});
		writeIfDue(clock.monotonic());
	}

	async function conclude(state: ItemState, end: GenerationEnd): Promise<void> {
		if (end.kind === 'impossible') {
			log.info('item can not be done', {batchId: batch.id, itemId: state.item.id, reason: end.reason});
			finish(state, {
				isDone: false, text: '', versions: [], score: undefined,
			});
			return;
		}

		if (end.kind !== 'complete') {
			state.phase = end.kind === 'waiting' ? 'waiting' : 'finished';
			return;
		}

		const {text, versions} = end;
		const {scoring: call} = state.item;
		const score = call === undefined ? undefined : await scorer.score(call);
		const isDone = call === undefined || score !== undefined;
		finish(state, {
			isDone, text: isDone ? text : '', versions: isDone ? versions : [], score,
		});
	}

	function startItem(state: ItemState): void {
		state.phase = 'running';
		void state.run.run().then(async end => {
			const concluded = conclude(state, end);
			// An item that found no free slot waits for the next tick, so that a wrong estimate of free slots does not cause a busy loop.
			if (end.kind !== 'waiting') {
				confirmAndStart(clock.monotonic());
			}

			await concluded;
		}).catch((error: unknown) => {
			log.error('run of an item failed unexpectedly', {batchId: batch.id, itemId: state.item.id, error: String(error)});
			state.phase = 'waiting';
		});
	}

	function confirm(): void {
		if (isConfirming) {
			return;
		}

		isConfirming = true;
		void status.confirm().then(() => {
			isConfirming = false;
			startWaiting(clock.monotonic());
		});
	}

	function startWaiting(now: number): void {
		if (isLost()) {
			return;
		}

		order.listStarts(now).some(id => {
			const state = byId.get(id)!;
			const hasRoom = state.run.hasRoom(now);
			if (hasRoom) {
				startItem(state);
			}

			return !hasRoom;
		});
	}

	function confirmAndStart(now: number): void {
		if (isLost() || !states.some(state => state.phase === 'waiting')) {
			return;
		}

		if (now - status.attemptedAt() > CONFIRMATION_TTL_MS) {
			confirm();
			return;
		}

		startWaiting(now);
	}

	/** Reads the log while items run, so that this daemon notices the end of the batch or another owner even when it writes nothing. */
	function confirmWhileRunning(now: number): void {
		const isDue = now - status.attemptedAt() > dependencies.cancelMs * RUNNING_CONFIRMATION_SHARE;
		if (!isLost() && isDue && states.some(state => state.phase === 'running')) {
			confirm();
		}
	}

	function stopRuns(): void {
		stop.abort();
		states.forEach(state => {
			state.run.stop();
		});
	}

	return {
		tick(now) {
			states.filter(state => state.phase === 'running').forEach(state => {
				state.run.moveIfSlow(now);
			});
			writeIfDue(now);
			writeTexts(now);
			confirmWhileRunning(now);
			confirmAndStart(now);
		},
		release() {
			const partials = states.filter(state => state.phase !== 'finished').map(state => state.run.partial()).filter(partial => partial.lastEventId > 0);
			stopRuns();
			return partials;
		},
		isActive: () => !isLost() && states.some(state => !batchLog.isListed(state.item.id)),
		progress: () => batchLog.results().length + states.reduce((sum, {phase, run}) => sum + (phase === 'finished' ? 1 : run.partial().lastEventId), 0),
		demand: now => order.describeDemand(now, isLost()),
		dispose: stopRuns,
	};
}
