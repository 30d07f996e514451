/** Owns one batch: runs its items, scores them, and writes results to the batch's log until the batch ends or is lost. */
import type {Disposable} from '../../base/common/disposable.js';
import type {DeploymentHolder, Route} from '../../gateway/common/deployment.js';
import type {
	Batch, BatchItem, ItemResult, LogRecord, PartialText,
} from '../common/batch.js';
import type {BatchLog} from '../common/batch-log.js';
import {
	countCompleteGroups, isWorthWriting, type OpenItem,
} from '../common/run-order.js';
import type {Demand} from '../common/start-turns.js';
import {createItemOrder} from '../common/item-order.js';
import {chooseTextParts, takeResults} from '../common/text-parts.js';
import {
	createGenerationRun, type GenerationEnd, type GenerationParts, type GenerationRun,
} from './generation-runner.js';
import {createItemScoring, type ScoringParts} from './item-scoring.js';
import type {LogWriter} from './log-writer.js';

/** The owner of one batch. */
export type BatchOwner = Disposable & {
	/** Starts what has room; called when servers, versions or loads may have changed. */
	readonly pump: (now: number) => void;
	/** Stops all runs; returns the text so far for another owner. */
	readonly release: () => readonly PartialText[];
	readonly isActive: () => boolean;
	/** Items that neither are stored nor under way, and when they are due. */
	readonly demand: (now: number) => Demand;
};

/** What an owner works with. */
export type OwnerParts = GenerationParts & ScoringParts & {
	readonly deployment: DeploymentHolder;
	readonly batchLog: BatchLog;
	readonly writer: LogWriter;
	/** Monotonic time at which this daemon learned of the batch. */
	readonly knownSince: number;
	readonly partials: readonly PartialText[];
	/** Another daemon owned the batch before. */
	readonly isTakenOver: boolean;
	/** Time after the end of a batch within which its items must start nowhere, in milliseconds. */
	readonly cancelMs: number;
};

/** Share of the time until a batch is due that a batch which was taken over is expected to have left. */
const TAKEN_OVER_SHARE = 0.5;

type ItemState = {
	readonly item: BatchItem;
	readonly run: GenerationRun;
	phase: 'waiting' | 'running' | 'finished';
};

/** The log is read again before a start when the store has not confirmed it for this long, in milliseconds. */
const CONFIRM_MS = 1000;
/** Share of the time to cancel after which the log is read again while items run: their runs may start anew elsewhere. */
const RUNNING_CONFIRM_SHARE = 0.6;
/** Longest time without a write while items run, in milliseconds: what an owner's loss may cost, against a call to the store. */
const TEXTS_MS = 2000;
/** Pause before a failed write is tried again. */
const WRITE_RETRY_MS = 300;

/** Starts to own a batch. */
export function createBatchOwner(batch: Batch, parts: OwnerParts): BatchOwner {
	const {
		deployment, batchLog, writer, clock, loop, log,
	} = parts;
	const stop = new AbortController();
	const unwritten = new Map<string, ItemResult>();
	let oldestUnwrittenAt = 0;
	let writtenAt = clock.monotonic();
	let isWriting = false;
	let isConfirming = false;
	/** A read that failed counts too: without the store nobody can end or take over the batch either. */
	let confirmTriedAt = Number.NEGATIVE_INFINITY;
	const itemRoute = (item: BatchItem): Route | undefined => deployment.findRoute(batch.host, item.path) ?? deployment.findRoute(batch.host, batch.path);

	/** A batch that was taken over has lost time that this daemon does not know. */
	const dueAt = parts.knownSince + ((itemRoute(batch.items[0]!)?.dueMs ?? 0) * (parts.isTakenOver ? TAKEN_OVER_SHARE : 1));
	const order = createItemOrder(batch, dueAt, now => listOpen(now));

	const states: readonly ItemState[] = batch.items.map(item => ({
		item,
		run: createGenerationRun(batch, item, () => itemRoute(item), {
			...parts, turnOf: (remainingMs, now) => order.turnOf(item, remainingMs, now),
		}, parts.partials.find(partial => partial.itemId === item.id)),
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

	const scorer = createItemScoring(batch.id, parts, stop.signal, isLost);

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
			parts.metrics.count('results.stored', stored.length);
		}

		stored.forEach(itemId => {
			unwritten.delete(itemId);
		});
		oldestUnwrittenAt = clock.monotonic();
		if (written.isErr()) {
			log.warn('results not stored yet', {
				batchId: batch.id, results: unwritten.size, code: written.error.code, reason: written.error.message,
			});
			loop.after(WRITE_RETRY_MS, writeIfWorth);
			return;
		}

		writeIfWorth(clock.monotonic());
	}

	function writeIfWorth(now: number): void {
		if (isWriting || unwritten.size === 0 || isLost() || !isWorthWriting(timing(now))) {
			return;
		}

		void write();
	}

	/** Stores the text of items that run for long while no result comes. */
	function writeTexts(now: number): void {
		const runsLong = states.some(state => state.phase === 'running' && state.run.partial().lastEventId > 0);
		if (!isWriting && !isLost() && runsLong && now - writtenAt >= TEXTS_MS) {
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
		writeIfWorth(clock.monotonic());
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
		const given = call === undefined ? undefined : await scorer.score(call);
		const isDone = call === undefined || given !== undefined;
		finish(state, {
			isDone, text: isDone ? text : '', versions: isDone ? versions : [], score: given,
		});
	}

	function startItem(state: ItemState): void {
		state.phase = 'running';
		void state.run.run().then(async end => {
			const concluded = conclude(state, end);
			// An item that found no room waits for the next tick, so that a wrong guess of room can't spin.
			if (end.kind !== 'waiting') {
				pump(clock.monotonic());
			}

			await concluded;
		}).catch((error: unknown) => {
			log.error('run failed', {batchId: batch.id, itemId: state.item.id, error: String(error)});
			state.phase = 'waiting';
		});
	}

	function confirm(): void {
		if (isConfirming) {
			return;
		}

		isConfirming = true;
		void writer.catchUp().then(caughtUp => {
			isConfirming = false;
			confirmTriedAt = clock.monotonic();
			if (caughtUp.isErr()) {
				log.info('batch log not confirmed', {batchId: batch.id, code: caughtUp.error.code, reason: caughtUp.error.message});
			}

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

	function pump(now: number): void {
		if (isLost() || !states.some(state => state.phase === 'waiting')) {
			return;
		}

		if (now - Math.max(confirmTriedAt, writer.confirmedAt()) > CONFIRM_MS) {
			confirm();
			return;
		}

		startWaiting(now);
	}

	/** Reads the log while items run, so that an end or another owner is noticed without a write. */
	function confirmWhileRunning(now: number): void {
		const isDue = now - Math.max(confirmTriedAt, writer.confirmedAt()) > parts.cancelMs * RUNNING_CONFIRM_SHARE;
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
		pump(now) {
			states.filter(state => state.phase === 'running').forEach(state => {
				state.run.moveIfSlow(now);
			});
			writeIfWorth(now);
			writeTexts(now);
			confirmWhileRunning(now);
			pump(now);
		},
		release() {
			const partials = states.filter(state => state.phase !== 'finished').map(state => state.run.partial()).filter(partial => partial.lastEventId > 0);
			stopRuns();
			return partials;
		},
		isActive: () => !isLost() && states.some(state => !batchLog.isListed(state.item.id)),
		demand: now => order.describeDemand(now, isLost()),
		dispose: stopRuns,
	};
}
