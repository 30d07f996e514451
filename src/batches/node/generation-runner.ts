/** Runs one item on engines until its text is complete. Each run continues after the last event of the one before. */
import {Buffer} from 'node:buffer';
import type {Result} from 'neverthrow';
import {createEventTail, isEventStream} from '../../adapters/common/event-stream.js';
import type {BytesHeld} from '../../base/common/byte-budget.js';
import type {Failure} from '../../base/common/failure.js';
import {responseBudget} from '../../base/common/message-budgets.js';
import type {Clock} from '../../base/common/clock.js';
import type {Log} from '../../kernel/common/log.js';
import type {Metrics} from '../../kernel/common/metrics.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {DeploymentHolder, Route} from '../../gateway/common/deployment.js';
import {isLateCopy, isWithheld} from '../../gateway/common/attempt-policy.js';
import type {ResponseHead, ServerProtocol} from '../../gateway/common/server-protocol.js';
import type {ServerEntry} from '../../gateway/common/server-view.js';
import type {WorkStatus} from '../../gateway/common/work-status.js';
import type {BackendResponse, ServerCaller} from '../../gateway/node/server-caller.js';
import type {Dispatch} from '../../routing/common/router.js';
import type {Batch, BatchItem, PartialText} from '../common/batch.js';
import {buildItemHeaders} from '../common/batch-access.js';
import {createGenerationProgress, type GenerationProgress} from '../common/generation-progress.js';
import {createRunBackoff} from '../common/run-backoff.js';
import {isSlow} from '../common/event-intervals.js';
import type {StartPriority} from '../common/start-priorities.js';
import type {WorkEstimate} from '../common/work-estimate.js';
import {createEngineChoice, LONG_RUN_EVENTS, type EngineChoiceDependencies} from './engine-choice.js';

/** How the runs of an item ended. */
export type GenerationEnd
	= | {readonly kind: 'complete'; readonly text: string; readonly versions: readonly number[]}
	/** The item can not be completed on any engine. */
		| {readonly kind: 'impossible'; readonly reason: string}
	/** No engine has a free slot at present; the text so far is kept. */
		| {readonly kind: 'waiting'}
		| {readonly kind: 'stopped'};

/** The runs of one item. */
export type GenerationRun = {
	/** Starts runs until an end is reached; may be called again after `waiting`. */
	readonly run: () => Promise<GenerationEnd>;
	/** Whether an engine has a free slot for the item now. */
	readonly hasRoom: (now: number) => boolean;
	/** Expected time until the text is complete, in one slot. */
	readonly remainingMs: (now: number) => number;
	/** Aborts the current run, and starts no other. */
	readonly stop: () => void;
	readonly partial: () => PartialText;
	/** Moves the run to a faster engine with a free slot, if its own engine is slow or the text is long. */
	readonly moveIfSlow: (now: number) => void;
};

/** Dependencies of the runs. */
export type GenerationDependencies = EngineChoiceDependencies & {
	readonly deployment: Pick<DeploymentHolder, 'current'>;
	readonly protocol: ServerProtocol;
	readonly caller: ServerCaller;
	readonly clock: Clock;
	readonly loop: Loop;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly workEstimate: WorkEstimate;
	/** Whether the batch goes on; asked before each run is sent. */
	readonly work: WorkStatus;
};

/** Time without an event after which a run continues on another engine; longer than an engine takes to load weights. */
const SILENCE_TIMEOUT_MS = 2500;
/** Time without a first event after which a run is started on another engine. */
const FIRST_EVENT_TIMEOUT_MS = 3000;
/** Time for which an item waits for a permit of an engine that limits its requests, before it looks at all engines again. */
const PERMIT_PATIENCE_MS = 300;
const SILENCE_CHECK_PERIOD_MS = 250;
/** Time for which an item waits for an engine of its text's software version while others are free. */
const MAXIMUM_HELD_BACK_MS = 2500;
/** Time limit of one run on an engine. */
const MAXIMUM_RUN_MS = 60_000;
/** Time since its last run for which a confined item waits for its engine, before it goes to another one: an item must not be without an engine for 5 s. */
const CONFINED_PATIENCE_MS = 4500;
/** Statuses of engine responses: `STATUS_IMPOSSIBLE` ends an item, `STATUS_FAILED` ends it after as many attempts as its route allows. */
const STATUS_IMPOSSIBLE = 422;
const STATUS_FAILED = 500;
/** Memory of a text from which on it counts toward the memory for responses, so that ordinary texts are never given up for others. */
const ORDINARY_TEXT_BYTES = 128 * 1024;
/** Events that a run must have before it may move, so that it does not move back and forth between engines of similar speed. */
const MINIMUM_EVENTS_TO_MOVE = 8;

/** Events whose mean interval is measured together: a daemon with a small share of a core runs once every 0.1 s, and reads several events each time. */
const EVENTS_PER_MEASUREMENT = 8;
/** Minimum share of its expected time that a running item is assumed to need still, also when it has run for longer than expected. */
const MINIMUM_REMAINING_SHARE = 0.2;
type RunState = {
	dispatch: Dispatch | undefined;
	abort: AbortController;
	readonly startedAt: number;
	/** Number of events of earlier runs. */
	readonly after: number;
	lastEventAt: number;
	/** Time of the first event of the block of events that is being measured. */
	measuredSince: number;
	/** Number of events of this run. */
	events: number;
	brokenBy: string | undefined;
	/** Software version of the engine when the run started. */
	readonly softwareVersion: string | undefined;
};

/** Creates the runs of an item. `route` is called for each run, because the configuration may change. */
export function createGenerationRun(batch: Batch, item: BatchItem, route: () => Route | undefined, dependencies: GenerationDependencies & {readonly priorityOf: (remainingMs: number, now: number) => StartPriority}, earlier?: PartialText): GenerationRun {
	const {
		protocol, caller, loads, view, eventIntervals, refusals, permits, clock, loop, log, metrics,
	} = dependencies;
	const progress: GenerationProgress = createGenerationProgress(earlier);
	const body = Buffer.from(item.body, 'base64');
	let failures = 0;
	const backoff = createRunBackoff();
	/** Delay before the next run, and time of the end of the last one. */
	let delayMs = 0;
	let endedAt = Number.NEGATIVE_INFINITY;
	const waitingSince = clock.monotonic();
	let stopped = false;
	let state: RunState | undefined;
	/** Faster engines because of which the last run was aborted; the next run prefers them. */
	let moveTo: readonly string[] = [];
	const engines = createEngineChoice(batch, item, route, {...dependencies, priorityOf: now => dependencies.priorityOf(remainingMs(now), now), canContinueAt});
	/** Time since which the text has not gone on although engines were free, because none of them had its software version. */
	let heldBackSince: number | undefined;

	/** The output of two software versions does not fit together, so a text goes on at engines of its own version only. */
	function canContinueAt(engine: ServerEntry): boolean {
		return progress.lastEventId() === 0 || (engine.softwareVersion !== undefined && engine.softwareVersion === progress.softwareVersion());
	}

	/** Drops text whose software version has left, or has had no free slot for so long that the item would wait in vain beside free engines. */
	function dropUncontinuableText(now: number): void {
		if (progress.lastEventId() === 0 || progress.isComplete()) {
			return;
		}

		const isServing = (route()?.pools ?? []).some(({pool}) => view.list(pool).some(engine => !engine.isLeaving && canContinueAt(engine)));
		const isHeldBack = engines.list(now).length === 0 && engines.hasAnyFree(now);
		heldBackSince ??= isHeldBack ? now : undefined;
		if (isServing && (heldBackSince === undefined || now - heldBackSince < MAXIMUM_HELD_BACK_MS || !engines.hasAnyFree(now))) {
			return;
		}

		log.info('text begins anew', {
			batchId: batch.id, itemId: item.id, softwareVersion: progress.softwareVersion(), events: progress.lastEventId(), reason: isServing ? 'no free engine of its software version' : 'its software version has left',
		});
		metrics.count('run.text_dropped');
		heldBackSince = undefined;
		progress.reset();
	}

	/** Drops the text when the engine's entry has come to state another software version since the run began: nobody can tell which of them generated it. */
	function dropTextOfUnknownVersion(run: RunState): void {
		const serverId = run.dispatch!.server.id;
		const current = view.find(serverId)?.softwareVersion;
		if (run.events > 0 && current !== undefined && current !== run.softwareVersion) {
			log.info('text is of unknown software version', {
				batchId: batch.id, itemId: item.id, serverId, softwareVersion: run.softwareVersion, current,
			});
			run.brokenBy ??= 'the software version of the engine is not known';
			progress.reset();
		}
	}

	function remainingMs(now: number): number {
		const expected = dependencies.workEstimate.estimateMs(item.expectedTokens);
		const spentMs = state === undefined ? 0 : now - state.startedAt;
		return progress.isComplete() ? 0 : Math.max(MINIMUM_REMAINING_SHARE * expected, expected - spentMs);
	}

	function abortRun(run: RunState, reason: string): void {
		run.brokenBy ??= reason;
		run.abort.abort();
	}

	function watchForSilence(run: RunState): () => void {
		const check = loop.every({
			name: 'silence of a run',
			periodMs: SILENCE_CHECK_PERIOD_MS,
			run(now) {
				const limit = run.events > 0 ? SILENCE_TIMEOUT_MS : FIRST_EVENT_TIMEOUT_MS;
				if (now - run.lastEventAt > limit) {
					abortRun(run, `no event for ${limit} ms`);
				}
			},
		});
		return () => {
			check.dispose();
		};
	}

	function onHead(run: RunState, head: ResponseHead, contentType: string | undefined): void {
		const serverId = run.dispatch!.server.id;
		if (head.load !== undefined) {
			loads.report(serverId, {...head.load, tokensPerSecond: 0, ageMs: 0}, clock.monotonic());
		}

		if (head.status !== 200) {
			return;
		}

		if (!isEventStream(contentType)) {
			abortRun(run, `the response is "${contentType ?? ''}", expected an event stream`);
			return;
		}

		if (head.version !== undefined) {
			view.recordVersion(serverId, batch.model, head.version);
		}

		if (head.version === undefined && progress.lastEventId() > 0) {
			// An engine that has nothing to add to the text sends no event and states no version.
			return;
		}

		if (head.version === undefined || head.version < batch.oldestVersion) {
			abortRun(run, `the engine serves version ${head.version ?? 'unknown'}, the batch needs version ${batch.oldestVersion} or newer`);
			return;
		}

		progress.beginRun(head.version, run.softwareVersion);
	}

	function createReader(run: RunState, heldBytes: BytesHeld) {
		return protocol.createEventReader(event => {
			if (run.brokenBy !== undefined) {
				return;
			}

			const now = clock.monotonic();
			run.lastEventAt = now;
			if (run.events % EVENTS_PER_MEASUREMENT === 0) {
				if (run.events > 0) {
					eventIntervals.recordInterval(run.dispatch!.server.id, (now - run.measuredSince) / EVENTS_PER_MEASUREMENT, now);
				}

				run.measuredSince = now;
			}

			run.events += 1;
			heldBackSince = undefined;
			const problem = event.version !== undefined && event.version < batch.oldestVersion ? `version ${event.version} of the event is older than the batch accepts` : progress.add(event);
			if (problem !== undefined) {
				abortRun(run, problem);
			} else if (progress.memoryBytes() > ORDINARY_TEXT_BYTES) {
				heldBytes.set(progress.memoryBytes(), now);
			}
		});
	}

	async function callEngine(run: RunState, dispatch: Dispatch): Promise<Result<BackendResponse, Failure>> {
		const heldBytes = responseBudget.open(reason => {
			abortRun(run, reason);
			progress.reset();
		}, clock.monotonic());
		const reader = createReader(run, heldBytes);
		const tail = createEventTail();
		const called = await caller.attempt(dispatch.server, {
			method: 'POST', path: item.path, headers: buildItemHeaders(batch, item, protocol, dependencies.deployment.current()?.tenancy?.kind === 'required'), body,
		}, {
			requestId: item.id,
			remainingMs: MAXIMUM_RUN_MS,
			serverId: dispatch.server.id,
			...(progress.lastEventId() > 0 && {resumeAfter: String(progress.lastEventId())}),
		}, {
			timeoutMs: MAXIMUM_RUN_MS,
			work: dependencies.work,
			signal: run.abort.signal,
			onCut() {
				abortRun(run, 'the links to the engines are cut');
				return 'wait';
			},
			onHead(head, headers) {
				onHead(run, head, headers['content-type']);
				return undefined;
			},
			onData(chunk) {
				tail.addChunk(chunk);
				return reader.feed(chunk);
			},
		});
		heldBytes.release();
		if (called.isOk() && called.value.status === 200 && tail.endsWithinEvent()) {
			run.brokenBy ??= 'the stream ended within an event';
		}

		return called;
	}

	/** Whether the engine ended a run without a complete response. */
	function hasBrokenOff(run: RunState, failure: Failure): boolean {
		return run.brokenBy === undefined && !stopped && !isLateCopy(failure) && !isWithheld(failure);
	}

	function endDispatch(run: RunState, result: Result<BackendResponse, Failure>): void {
		const now = clock.monotonic();
		const serverId = run.dispatch!.server.id;
		const outcome = result.match(
			response => (response.head.isOtherServer ? 'refused' as const : (response.head.isNotRun ? 'cancelled' as const : 'done' as const)),
			failure => (hasBrokenOff(run, failure) ? 'died' as const : 'cancelled' as const),
		);
		run.dispatch!.end(now, outcome);
		metrics.timing('run.duration', now - run.startedAt, {outcome});
		if (result.isOk() && result.value.head.isNotRun) {
			refusals.record(serverId, batch.model, now);
		} else if (outcome === 'done') {
			refusals.forget(serverId, batch.model);
		} else if (result.isOk() || !(isLateCopy(result.error) || isWithheld(result.error))) {
			engines.avoid(serverId, now);
		}

		log.info('run ended', {
			batchId: batch.id,
			itemId: item.id,
			serverId,
			outcome,
			events: progress.lastEventId(),
			...(run.brokenBy !== undefined && {brokenBy: run.brokenBy}),
			...result.match(response => ({status: response.status}), failure => ({code: failure.code, reason: failure.message})),
		});
	}

	function completeText(): GenerationEnd {
		progress.complete();
		return {kind: 'complete', text: progress.text(), versions: progress.versions()};
	}

	function evaluateResult(run: RunState, result: Result<BackendResponse, Failure>): GenerationEnd | undefined {
		if (stopped) {
			return {kind: 'stopped'};
		}

		if (result.isErr() || run.brokenBy !== undefined) {
			return undefined;
		}

		const {status, head} = result.value;
		if (status === 200 && progress.lastEventId() > 0) {
			if (route()?.needsSingleVersion === true && progress.versions().length > 1) {
				progress.reset();
				return undefined;
			}

			if (run.after === 0) {
				dependencies.workEstimate.recordItem(item.expectedTokens, clock.monotonic() - run.startedAt);
			}

			return completeText();
		}

		if (status === STATUS_IMPOSSIBLE && !head.isNotRun) {
			return {kind: 'impossible', reason: `status ${status}`};
		}

		failures += status === STATUS_FAILED && !head.isNotRun ? 1 : 0;
		return failures >= (route()?.attempts ?? 1) ? {kind: 'impossible', reason: `${failures} responses with status ${STATUS_FAILED}`} : undefined;
	}

	async function runOnce(): Promise<GenerationEnd | undefined> {
		const startedAt = clock.monotonic();
		dropUncontinuableText(startedAt);
		const confinedTo = backoff.confinedTo();
		if (confinedTo !== undefined && startedAt - endedAt < CONFINED_PATIENCE_MS && !engines.list(startedAt).includes(confinedTo)) {
			return {kind: 'waiting'};
		}

		const chosen = engines.choose(confinedTo === undefined ? moveTo : [confinedTo], progress.lastEventId(), startedAt);
		moveTo = [];
		if (chosen.isErr()) {
			return {kind: 'waiting'};
		}

		if (permits.isLimited(chosen.value.server.id)) {
			const permit = await permits.obtain(chosen.value.server.id, {urgency: 'background', waitedMs: startedAt - waitingSince, patienceMs: PERMIT_PATIENCE_MS});
			if (!permit.isGranted || stopped || !view.table.isUsable(chosen.value.server.id, clock.monotonic())) {
				chosen.value.end(clock.monotonic(), 'cancelled');
				return {kind: stopped ? 'stopped' : 'waiting'};
			}
		}

		const run: RunState = {
			dispatch: chosen.value, abort: new AbortController(), startedAt, after: progress.lastEventId(), lastEventAt: startedAt, measuredSince: startedAt, events: 0, brokenBy: undefined, softwareVersion: view.find(chosen.value.server.id)?.softwareVersion,
		};
		state = run;
		log.info('run started', {
			batchId: batch.id,
			itemId: item.id,
			serverId: chosen.value.server.id,
			version: view.versionOf(chosen.value.server.id, batch.model),
			softwareVersion: run.softwareVersion,
			load: loads.read(chosen.value.server.id, startedAt).likelyRequests,
			msPerEvent: Math.round(eventIntervals.intervalOf(chosen.value.server.id, startedAt) ?? 0),
			after: progress.lastEventId(),
		});
		const stopWatching = watchForSilence(run);
		const result = await callEngine(run, chosen.value);
		stopWatching();
		state = undefined;
		endedAt = clock.monotonic();
		const hasBroken = result.isErr() && result.error.effect === 'outcomeUnknown' && hasBrokenOff(run, result.error);
		delayMs = backoff.recordEnd({serverId: chosen.value.server.id, hasAdded: progress.lastEventId() > run.after, hasBroken});
		dropTextOfUnknownVersion(run);
		endDispatch(run, result);
		return evaluateResult(run, result);
	}

	async function run(): Promise<GenerationEnd> {
		if (stopped) {
			return {kind: 'stopped'};
		}

		if (progress.isComplete()) {
			return completeText();
		}

		const end = await runOnce();
		if (end !== undefined) {
			return end;
		}

		if (backoff.confinedTo() !== undefined) {
			log.info('item is confined to one engine', {
				batchId: batch.id, itemId: item.id, serverId: backoff.confinedTo(), delayMs,
			});
			metrics.count('run.item_confined');
		}

		await loop.sleep(delayMs);
		return run();
	}

	return {
		run,
		hasRoom(now) {
			dropUncontinuableText(now);
			return engines.list(now).length > 0;
		},
		remainingMs,
		stop() {
			stopped = true;
			state?.abort.abort();
		},
		partial: () => progress.partial(item.id),
		moveIfSlow(now) {
			if (state?.dispatch === undefined || state.brokenBy !== undefined || state.events < MINIMUM_EVENTS_TO_MOVE) {
				return;
			}

			const own = state.dispatch.server.id;
			const isLong = progress.lastEventId() >= LONG_RUN_EVENTS;
			if (!isSlow(eventIntervals, own, now) && !isLong) {
				return;
			}

			const others = engines.listFaster(own, now);
			if (others.length > 0) {
				engines.avoid(own, now);
				moveTo = others;
				abortRun(state, 'the engine is slow');
			}
		},
	};
}
