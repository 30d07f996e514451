/** Runs one item on engines until its text is complete: one run after another, each going on where the last one broke. */
import {Buffer} from 'node:buffer';
import {err, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import type {Clock} from '../../base/common/clock.js';
import type {Log} from '../../kernel/common/log.js';
import type {Metrics} from '../../kernel/common/metrics.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {Route} from '../../gateway/common/deployment.js';
import type {AnswerHead, ServerProtocol} from '../../gateway/common/server-protocol.js';
import type {ServerAnswer, ServerCaller} from '../../gateway/node/server-caller.js';
import type {ServerView} from '../../gateway/common/server-view.js';
import type {Dispatch} from '../../routing/common/router.js';
import type {Dispatcher} from '../../routing/common/dispatcher.js';
import type {LoadEstimate} from '../../routing/common/load-estimate.js';
import type {Batch, BatchItem, PartialText} from '../common/batch.js';
import {createGenerationProgress, type GenerationProgress} from '../common/generation-progress.js';
import type {RefusalMemory} from '../common/refusals.js';
import {isSlow, listFast, type ServerPace} from '../common/server-pace.js';

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
	/** Ends the run under way. */
	readonly stop: () => void;
	readonly partial: () => PartialText;
	/** Moves the run to another engine if its own is slow and another has room. */
	readonly moveIfSlow: (now: number) => void;
};

/** What runs work with. */
export type GenerationParts = {
	readonly protocol: ServerProtocol;
	readonly caller: ServerCaller;
	readonly dispatcher: Dispatcher;
	readonly loads: LoadEstimate;
	readonly view: ServerView;
	readonly pace: ServerPace;
	readonly refusals: RefusalMemory;
	readonly clock: Clock;
	readonly loop: Loop;
	readonly log: Log;
	readonly metrics: Metrics;
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
/** Expected bytes of a generation and its prompt, in the choice of an engine. */
const EXPECTED_BYTES = 4096;
/** Tokens of a shared prompt, in the choice of an engine. */
const SHARED_TOKENS = 1000;
/** Engines may hold this many requests more than they run at once, so that a free place is taken without a way back and forth. */
const SPARE_PLACES = 0;
/** Output tokens from which an item is long: a slower engine then costs seconds. */
const LONG_TOKENS = 1500;
/** A run moves to an engine that is this much faster. */
const MOVE_FACTOR = 1.25;
/** Events that a run makes before it may move again, so that it does not wander between engines of like pace. */
const FEWEST_EVENTS_TO_MOVE = 8;
/** Events from which a run is worth moving to an engine that is only somewhat faster. */
const LONG_RUN_EVENTS = 20;
/** Time for which an item does not return to the engine that last broke it, in milliseconds. */
const AVOID_MS = 1500;

type RunState = {
	dispatch: Dispatch | undefined;
	abort: AbortController;
	readonly startedAt: number;
	lastEventAt: number;
	/** Events that this run has made. */
	events: number;
	brokenBy: string | undefined;
};

/** Creates the runs of an item. `route` is asked anew for each run, as the configuration may change. */
export function createGenerationRun(batch: Batch, item: BatchItem, route: () => Route | undefined, parts: GenerationParts, earlier?: PartialText): GenerationRun {
	const {
		protocol, caller, dispatcher, loads, view, pace, refusals, clock, loop, log, metrics,
	} = parts;
	const progress: GenerationProgress = createGenerationProgress(earlier);
	const body = Buffer.from(item.body, 'base64');
	let failures = 0;
	let stopped = false;
	let state: RunState | undefined;
	/** Engines for which the run left its own. */
	let moveTo: readonly string[] = [];
	let avoided: {readonly serverId: string; readonly until: number} | undefined;

	function allowedServers(now: number): readonly string[] {
		const pools = route()?.pools.map(share => share.pool) ?? [];
		const fit = pools
			.flatMap(pool => view.list(pool))
			.filter(entry => view.table.usable(entry.id, now))
			.filter(entry => (view.versionOf(entry.id, batch.model) ?? 0) >= batch.oldestVersion)
			.filter(entry => !refusals.isRecent(entry.id, batch.model, now))
			.filter(entry => loads.read(entry.id, now).likely + 1 <= Math.max(1, entry.slots) + SPARE_PLACES)
			.filter(entry => !(avoided?.serverId === entry.id && now < avoided.until));
		const quick = fit.filter(entry => !isSlow(pace, entry.id, now));
		return (quick.length > 0 ? quick : fit).map(entry => entry.id);
	}

	/** Long items go to the fastest engines with room: a slower one costs them more than a wait. */
	function preferFast(allowed: readonly string[], now: number): readonly string[] {
		const fast = listFast(pace, allowed, now);
		const isLong = (item.expectedTokens ?? 0) >= LONG_TOKENS || progress.lastEventId() >= LONG_RUN_EVENTS;
		return fast.length > 0 && isLong ? fast : allowed;
	}

	function isMuchFaster(other: string, own: string, now: number): boolean {
		const otherGap = pace.gapOf(other, now);
		const ownGap = pace.gapOf(own, now);
		return otherGap !== undefined && ownGap !== undefined && ownGap > MOVE_FACTOR * otherGap;
	}

	function choose(now: number): Result<Dispatch, Failure> {
		const current = route();
		const open = allowedServers(now);
		const wanted = moveTo.filter(id => open.includes(id));
		moveTo = [];
		const allowed = wanted.length > 0 ? wanted : preferFast(open, now);
		if (current === undefined || allowed.length === 0) {
			return err(createNotRun('unavailable', {step: 'choose engine', peer: batch.model}, 'no engine has room'));
		}

		const pools = [...new Set(allowed.flatMap(id => view.find(id)?.pool ?? []))];
		return pools.reduce<Result<Dispatch, Failure>>((chosen, pool) => chosen.orElse(() => dispatcher.dispatch({
			pool, prefixKey: item.group, prefixTokens: SHARED_TOKENS, expectedTokens: item.expectedTokens ?? 0, expectedBytes: EXPECTED_BYTES, excluded: [], allowed, alone: false,
		}, now)), err(createNotRun('unavailable', {step: 'choose engine', peer: batch.model}, 'no engine may take the item')));
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
			if (run.events > 0) {
				pace.noteGap(run.dispatch!.server.id, now - run.lastEventAt, now);
			}

			run.lastEventAt = now;
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
				reader.feed(piece);
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
			avoided = {serverId, until: now + AVOID_MS};
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

			return {kind: 'complete', text: progress.text(), versions: progress.versions()};
		}

		if (status === STATUS_IMPOSSIBLE && !head.isNotRun) {
			return {kind: 'impossible', reason: `status ${status}`};
		}

		failures += status === STATUS_FAILED && !head.isNotRun ? 1 : 0;
		return failures >= (route()?.attempts ?? 1) ? {kind: 'impossible', reason: `${failures} answers of status ${STATUS_FAILED}`} : undefined;
	}

	async function runOnce(): Promise<GenerationEnd | undefined> {
		const startedAt = clock.monotonic();
		const chosen = choose(startedAt);
		if (chosen.isErr()) {
			return {kind: 'waiting'};
		}

		const run: RunState = {
			dispatch: chosen.value, abort: new AbortController(), startedAt, lastEventAt: startedAt, events: 0, brokenBy: undefined,
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

		return await runOnce() ?? run();
	}

	return {
		run,
		hasRoom: now => allowedServers(now).length > 0,
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

			const others = listFast(pace, allowedServers(now), now).filter(id => id !== own && isMuchFaster(id, own, now));
			if (others.length > 0) {
				avoided = {serverId: own, until: now + AVOID_MS};
				moveTo = others;
				breakOff(state, 'the engine is slow');
			}
		},
	};
}
