/** Runs one item on engines until its text is complete: one run after another, each going on where the last one broke. */
import {Buffer} from 'node:buffer';
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import type {Clock} from '../../base/common/clock.js';
import type {Log} from '../../kernel/common/log.js';
import type {Metrics} from '../../kernel/common/metrics.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {Route} from '../../gateway/common/deployment.js';
import type {AnswerHead, ServerProtocol} from '../../gateway/common/server-protocol.js';
import type {ServerAnswer, ServerCaller} from '../../gateway/node/server-caller.js';
import type {Dispatch} from '../../routing/common/router.js';
import type {Batch, BatchItem, PartialText} from '../common/batch.js';
import {createGenerationProgress, type GenerationProgress} from '../common/generation-progress.js';
import {createRunPauses} from '../common/run-pauses.js';
import {isSlow} from '../common/server-pace.js';
import type {Turn} from '../common/start-turns.js';
import type {WorkEstimate} from '../common/work-estimate.js';
import {createEngineChoice, LONG_RUN_EVENTS, type EngineChoiceParts} from './engine-choice.js';

/** How the runs of an item ended. */
export type GenerationEnd
	= | {readonly kind: 'complete'; readonly text: string; readonly versions: readonly number[]}
	/** The item can never be done. */
		| {readonly kind: 'impossible'; readonly reason: string}
	/** No engine has room at present; the text so far is kept. */
		| {readonly kind: 'waiting'}
		| {readonly kind: 'stopped'};

/** The runs of one item. */
export type GenerationRun = {
	/** Runs until an end; may be called again after `waiting`. */
	readonly run: () => Promise<GenerationEnd>;
	/** Whether an engine has room for the item now. */
	readonly hasRoom: (now: number) => boolean;
	/** Expected time until the text is whole, at one place. */
	readonly remainingMs: (now: number) => number;
	/** Ends the run under way. */
	readonly stop: () => void;
	readonly partial: () => PartialText;
	/** Moves the run to another engine if its own is slow and another has room. */
	readonly moveIfSlow: (now: number) => void;
};

/** What runs work with. */
export type GenerationParts = EngineChoiceParts & {
	readonly protocol: ServerProtocol;
	readonly caller: ServerCaller;
	readonly clock: Clock;
	readonly loop: Loop;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly work: WorkEstimate;
};

/** Time without an event after which a run goes on elsewhere, in milliseconds: a load of weights fits into it. */
const SILENCE_MS = 2500;
/** Time without a first event after which a run is started elsewhere, in milliseconds. */
const FIRST_EVENT_MS = 3000;
const CHECK_MS = 250;
/** Longest time that an engine may work on one run. */
const LONGEST_RUN_MS = 60_000;
/** Statuses that end an item. */
const STATUS_IMPOSSIBLE = 422;
const STATUS_FAILED = 500;
/** Events that a run makes before it may move again, so that it does not wander between engines of like pace. */
const FEWEST_EVENTS_TO_MOVE = 8;

/** Events that are timed together: a daemon with a small share of a core reads several at a time, in turns of 0.1 s. */
const PACE_EVENTS = 8;
/** An item that has run for longer than expected is expected to need this share of its time still. */
const LEAST_REMAINING_SHARE = 0.2;
type RunState = {
	dispatch: Dispatch | undefined;
	abort: AbortController;
	readonly startedAt: number;
	/** Events of earlier runs. */
	readonly after: number;
	lastEventAt: number;
	/** Time of the first event of the block of events that is being timed. */
	paceSince: number;
	/** Events that this run has made. */
	events: number;
	brokenBy: string | undefined;
};

/** Creates the runs of an item. `route` is asked anew for each run, as the configuration may change. */
export function createGenerationRun(batch: Batch, item: BatchItem, route: () => Route | undefined, parts: GenerationParts & {readonly turnOf: (remainingMs: number, now: number) => Turn}, earlier?: PartialText): GenerationRun {
	const {
		protocol, caller, loads, view, pace, refusals, clock, loop, log, metrics,
	} = parts;
	const progress: GenerationProgress = createGenerationProgress(earlier);
	const body = Buffer.from(item.body, 'base64');
	let failures = 0;
	const pauses = createRunPauses();
	let stopped = false;
	let state: RunState | undefined;
	/** Engines for which the run left its own. */
	let moveTo: readonly string[] = [];
	const engines = createEngineChoice(batch, item, route, {...parts, turnOf: now => parts.turnOf(remainingMs(now), now)});

	function remainingMs(now: number): number {
		const expected = parts.work.expect(item.expectedTokens);
		const spentMs = state === undefined ? 0 : now - state.startedAt;
		return progress.isComplete() ? 0 : Math.max(LEAST_REMAINING_SHARE * expected, expected - spentMs);
	}

	function breakOff(run: RunState, reason: string): void {
		run.brokenBy ??= reason;
		run.abort.abort();
	}

	function watchSilence(run: RunState): () => void {
		const check = loop.every({
			name: 'silence of a run',
			periodMs: CHECK_MS,
			run(now) {
				const limit = run.events > 0 ? SILENCE_MS : FIRST_EVENT_MS;
				if (now - run.lastEventAt > limit) {
					breakOff(run, `no event for ${limit} ms`);
				}
			},
		});
		return () => {
			check.dispose();
		};
	}

	function onHead(run: RunState, head: AnswerHead): void {
		const serverId = run.dispatch!.server.id;
		if (head.load !== undefined) {
			loads.report(serverId, {...head.load, tokensPerSecond: 0, ageMs: 0}, clock.monotonic());
		}

		if (head.status !== 200) {
			return;
		}

		if (head.version !== undefined) {
			view.stateVersion(serverId, batch.model, head.version);
		}

		if (head.version === undefined && progress.lastEventId() > 0) {
			// An engine that has nothing to add to a text makes no event and names no version.
			return;
		}

		if (head.version === undefined || head.version < batch.oldestVersion) {
			breakOff(run, `the engine serves version ${head.version ?? 'unknown'}, the batch needs ${batch.oldestVersion}`);
			return;
		}

		progress.beginRun(head.version);
	}

	function createReader(run: RunState) {
		return protocol.createEventReader(event => {
			if (run.brokenBy !== undefined) {
				return;
			}

			const now = clock.monotonic();
			run.lastEventAt = now;
			if (run.events % PACE_EVENTS === 0) {
				if (run.events > 0) {
					pace.noteGap(run.dispatch!.server.id, (now - run.paceSince) / PACE_EVENTS, now);
				}

				run.paceSince = now;
			}

			run.events += 1;
			const problem = event.version !== undefined && event.version < batch.oldestVersion ? `version ${event.version} is too old` : progress.add(event);
			if (problem !== undefined) {
				breakOff(run, problem);
			}
		});
	}

	async function callEngine(run: RunState, dispatch: Dispatch): Promise<Result<ServerAnswer, Failure>> {
		const reader = createReader(run);
		return caller.attempt(dispatch.server, {
			method: 'POST', path: item.path, headers: {...item.headers, Host: batch.host}, body,
		}, {
			requestId: item.id,
			remainingMs: LONGEST_RUN_MS,
			serverId: dispatch.server.id,
			...(progress.lastEventId() > 0 && {resumeAfter: String(progress.lastEventId())}),
		}, {
			timeoutMs: LONGEST_RUN_MS,
			signal: run.abort.signal,
			onHead(head) {
				onHead(run, head);
			},
			onData(piece) {
				return reader.feed(piece);
			},
		});
	}

	function endDispatch(run: RunState, result: Result<ServerAnswer, Failure>): void {
		const now = clock.monotonic();
		const serverId = run.dispatch!.server.id;
		const outcome = result.match(
			answer => (answer.head.isOtherServer ? 'refused' as const : (answer.head.isNotRun ? 'cancelled' as const : 'done' as const)),
			() => (run.brokenBy === undefined && !stopped ? 'died' as const : 'cancelled' as const),
		);
		run.dispatch!.end(now, outcome);
		metrics.timing('run.duration', now - run.startedAt, {outcome});
		if (result.isOk() && result.value.head.isNotRun) {
			refusals.note(serverId, batch.model, now);
		} else if (outcome === 'done') {
			refusals.forget(serverId, batch.model);
		} else {
			engines.avoid(serverId, now);
		}

		log.info('run ended', {
			batchId: batch.id,
			itemId: item.id,
			serverId,
			outcome,
			events: progress.lastEventId(),
			...(run.brokenBy !== undefined && {brokenBy: run.brokenBy}),
			...result.match(answer => ({status: answer.status}), failure => ({code: failure.code, reason: failure.message})),
		});
	}

	function concludeText(): GenerationEnd {
		progress.complete();
		return {kind: 'complete', text: progress.text(), versions: progress.versions()};
	}

	function readEnd(run: RunState, result: Result<ServerAnswer, Failure>): GenerationEnd | undefined {
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
				parts.work.note(item.expectedTokens, clock.monotonic() - run.startedAt);
			}

			return concludeText();
		}

		if (status === STATUS_IMPOSSIBLE && !head.isNotRun) {
			return {kind: 'impossible', reason: `status ${status}`};
		}

		failures += status === STATUS_FAILED && !head.isNotRun ? 1 : 0;
		return failures >= (route()?.attempts ?? 1) ? {kind: 'impossible', reason: `${failures} answers of status ${STATUS_FAILED}`} : undefined;
	}

	async function runOnce(): Promise<GenerationEnd | undefined> {
		const startedAt = clock.monotonic();
		const chosen = engines.choose(moveTo, progress.lastEventId(), startedAt);
		moveTo = [];
		if (chosen.isErr()) {
			return {kind: 'waiting'};
		}

		const run: RunState = {
			dispatch: chosen.value, abort: new AbortController(), startedAt, after: progress.lastEventId(), lastEventAt: startedAt, paceSince: startedAt, events: 0, brokenBy: undefined,
		};
		state = run;
		log.info('run started', {
			batchId: batch.id,
			itemId: item.id,
			serverId: chosen.value.server.id,
			version: view.versionOf(chosen.value.server.id, batch.model),
			load: loads.read(chosen.value.server.id, startedAt).likely,
			msPerEvent: Math.round(pace.gapOf(chosen.value.server.id, startedAt) ?? 0),
			after: progress.lastEventId(),
		});
		const stopWatch = watchSilence(run);
		const result = await callEngine(run, chosen.value);
		stopWatch();
		state = undefined;
		endDispatch(run, result);
		return readEnd(run, result);
	}

	async function run(): Promise<GenerationEnd> {
		if (stopped) {
			return {kind: 'stopped'};
		}

		if (progress.isComplete()) {
			return concludeText();
		}

		const events = progress.lastEventId();
		const end = await runOnce();
		if (end !== undefined) {
			return end;
		}

		await loop.sleep(pauses.next(progress.lastEventId() > events));
		return run();
	}

	return {
		run,
		hasRoom: now => engines.list(now).length > 0,
		remainingMs,
		stop() {
			stopped = true;
			state?.abort.abort();
		},
		partial: () => progress.partial(item.id),
		moveIfSlow(now) {
			if (state?.dispatch === undefined || state.brokenBy !== undefined || state.events < FEWEST_EVENTS_TO_MOVE) {
				return;
			}

			const own = state.dispatch.server.id;
			const isLong = progress.lastEventId() >= LONG_RUN_EVENTS;
			if (!isSlow(pace, own, now) && !isLong) {
				return;
			}

			const others = engines.listFaster(own, now);
			if (others.length > 0) {
				engines.avoid(own, now);
				moveTo = others;
				breakOff(state, 'the engine is slow');
			}
		},
	};
}
