/**
 * Decides, for one step, which streams to start, to go on with elsewhere, to double and to cancel. It counts whole
 * groups, keeps partial work while the staleness bound allows it, and starts the samples that are expected to be longest
 * first, because a long sample that starts late ends the step alone.
 */
import type {Generation} from '../../adapters/common/engine.js';
import {createAttemptTable} from './attempt-table.js';
import {
	addChunk, labelGeneration, noProgress, type LabelledProgress,
} from './labels.js';
import {createSampleTable, type SampleRecord, type SampleTable} from './sample-table.js';
import {chooseSurplus, orderStarts} from './start-order.js';
import type {ScheduleOptions} from './schedule-options.js';
import {createStalenessRule} from './staleness.js';
import {
	createStragglerPolicy, updateRate, type Attempt, type StragglerOptions,
} from './straggler-policy.js';
import type {
	AttemptFailure, Budget, CancelAction, ScheduleAction, StartAction, StepDemand, WholeText,
} from './stream-actions.js';

/** The schedule of one step. */
export type StepSchedule = {
	readonly table: SampleTable;
	readonly decide: (now: number, budget: Budget) => readonly ScheduleAction[];
	readonly noteDispatched: (attemptId: string, serverId: string) => void;
	readonly noteChunk: (attemptId: string, chunk: Parameters<typeof addChunk>[1], now: number) => void;
	/** Takes a whole generation; returns the text to score, or undefined when it is a loser's or can't be labelled. */
	readonly noteWhole: (attemptId: string, generation: Generation, now: number) => WholeText | undefined;
	readonly noteFailed: (attemptId: string, failure: AttemptFailure, now: number) => void;
	/** Takes the score of a text; ignored when the sample has been generated anew since. */
	readonly noteScored: (whole: WholeText, score: number | undefined) => void;
	/** Sets the groups that are fixed in batches, and of these the ones that the trainer still needs. */
	readonly setFixed: (fixed: readonly number[], needed: readonly number[]) => void;
	/** Sends samples of a group that are too old for the version back to generation; returns whether the group is whole and fresh. */
	readonly refresh: (group: number, weightVersion: number, now: number) => boolean;
	/** Whole groups that are in no batch yet, in the order in which they can be handed over. */
	readonly wholeGroups: () => readonly number[];
	readonly demand: () => StepDemand;
	/** Whether too many groups can never become whole. */
	readonly isHopeless: () => boolean;
};

const FIRST_BACKOFF_MS = 100;
const LAST_BACKOFF_MS = 5000;
/** Deaths of servers after which a sample is tried alone. */
const DEATHS_BEFORE_ALONE = 2;

/** Creates the schedule of one step. */
export function createStepSchedule(options: ScheduleOptions): StepSchedule {
	const {request, forecast} = options;
	const label = options.label ?? labelGeneration;
	const table = createSampleTable(request.prompts.length, request.samplesPerGroup);
	const policy = createStragglerPolicy(options);
	const rule = options.rule ?? createStalenessRule(options.stalenessBound);
	const attempts = createAttemptTable();
	let fixed: ReadonlySet<number> = new Set();
	let needed: ReadonlySet<number> = new Set();
	let lastAttempt = 0;

	const keys = request.prompts.map(prompt => forecast.keyOf(prompt));
	const keyOf = (record: SampleRecord) => keys[record.group] ?? 0;
	const promptOf = (record: SampleRecord) => request.prompts[record.group] ?? '';
	const groups = () => request.prompts.map((_, group) => group);
	const wholeGroups = () => groups().filter(group => !fixed.has(group) && table.isWhole(group));

	function isEnough(): boolean {
		return fixed.size + wholeGroups().length >= options.required;
	}

	/** Whether a group's samples are worth generating now. */
	function createWantedTest(): (group: number) => boolean {
		const enough = isEnough();
		return group => needed.has(group) || (!enough && !fixed.has(group) && !table.isSuspect(group));
	}

	function expectTokens(record: SampleRecord, tokens: number): number {
		return forecast.expect(keyOf(record), tokens, request.maximumTokens);
	}

	function keepable(progress: LabelledProgress, weightVersion: number): LabelledProgress {
		const isKept = options.canResume && progress.isLabelled && progress.tokens > 0 && rule.isFresh(progress.ranges, weightVersion);
		return isKept ? progress : noProgress;
	}

	function isTooOld(progress: LabelledProgress, weightVersion: number): boolean {
		return progress.ranges.length > 0 && !rule.isFresh(progress.ranges, weightVersion);
	}

	/** Ends an attempt; its sample keeps the longest progress and waits again when no other attempt runs. */
	function endAttempt(attempt: Attempt, change: Partial<SampleRecord>): void {
		attempts.remove(attempt);
		const record = table.get(attempt.sample);
		if (record.state !== 'running') {
			return;
		}

		const carried = [record.carried, attempt.progress].filter(progress => progress.isLabelled).toSorted((a, b) => b.tokens - a.tokens).at(0) ?? noProgress;
		const state = attempts.streamsOf(attempt.sample) > 0 ? 'running' : 'pending';
		table.update(attempt.sample, {...change, carried, state});
	}

	function cancel(attempt: Attempt, change: Partial<SampleRecord>): CancelAction {
		endAttempt(attempt, change);
		return {kind: 'cancel', attemptId: attempt.id};
	}

	function cancelUnwanted(isWanted: (group: number) => boolean): readonly CancelAction[] {
		return attempts.all()
			.filter(attempt => {
				const record = table.get(attempt.sample);
				return record.state !== 'running' || !isWanted(record.group);
			})
			.map(attempt => cancel(attempt, {}));
	}

	function cancelOld(weightVersion: number): readonly CancelAction[] {
		return attempts.all().filter(attempt => isTooOld(attempt.progress, weightVersion)).map(attempt => cancel(attempt, {}));
	}

	function cancelStalled(now: number): readonly CancelAction[] {
		return attempts.all().filter(attempt => policy.isStalled(attempt, now)).map(attempt => {
			const {avoided} = table.get(attempt.sample);
			return cancel(attempt, attempt.serverId === undefined ? {} : {avoided: [...avoided, attempt.serverId].slice(-2)});
		});
	}

	function start(record: SampleRecord, progress: LabelledProgress, details: {readonly now: number; readonly isHedge: boolean; readonly excluded: readonly string[]}): StartAction {
		lastAttempt += 1;
		const attemptId = `${options.attemptPrefix}.${record.index}.${lastAttempt}`;
		const alone = record.deaths.length >= DEATHS_BEFORE_ALONE;
		attempts.add({
			id: attemptId,
			sample: record.index,
			serverId: undefined,
			startedAt: details.now,
			firstTokenAt: undefined,
			lastTokenAt: undefined,
			rate: undefined,
			progress,
			isHedge: details.isHedge,
			isAlone: alone,
		});
		table.update(record.index, {state: 'running'});
		return {
			kind: 'start',
			attemptId,
			sample: record.index,
			group: record.group,
			prompt: promptOf(record),
			resumeFrom: progress.tokens > 0 ? {text: progress.text, tokens: progress.tokens, ranges: progress.ranges} : undefined,
			expectedTokens: expectTokens(record, progress.tokens) - progress.tokens,
			excluded: details.excluded,
			alone,
		};
	}

	function remainingOf(record: SampleRecord): number {
		return expectTokens(record, record.carried.tokens) - record.carried.tokens;
	}

	function findSurplus(isWanted: (group: number) => boolean): ReadonlySet<number> {
		const open = groups()
			.filter(group => isWanted(group) && !fixed.has(group) && !table.isWhole(group))
			.map(group => ({group, longest: Math.max(...table.ofGroup(group).map(record => record.text === undefined ? remainingOf(record) : 0))}));
		return chooseSurplus(open, options.required - fixed.size - wholeGroups().length);
	}

	function choosePending(now: number, isWanted: (group: number) => boolean): readonly SampleRecord[] {
		const wanted = table.all().filter(record => record.state === 'pending' && record.notBefore <= now && isWanted(record.group));
		if (!options.longestFirst || wanted.length === 0) {
			return wanted;
		}

		const candidates = wanted.map(record => ({...record, remaining: remainingOf(record)}));
		const surplus = findSurplus(isWanted);
		return orderStarts(candidates.filter(({group}) => !surplus.has(group)), needed);
	}

	function startPending(now: number, budget: Budget, isWanted: (group: number) => boolean): readonly StartAction[] {
		const room = Math.max(0, budget.slots - attempts.countRunning(budget.allowed));
		return choosePending(now, isWanted).slice(0, room).map(record =>
			start(record, keepable(record.carried, budget.weightVersion), {now, isHedge: false, excluded: record.avoided}));
	}

	function canBeHedged(attempt: Attempt, now: number): boolean {
		const isOnly = !attempt.isHedge && !attempt.isAlone && attempts.streamsOf(attempt.sample) === 1;
		// A second stream that was refused is not asked for again before its time to return.
		return isOnly && attempt.serverId !== undefined && table.get(attempt.sample).notBefore <= now;
	}

	function startHedges(now: number, budget: Budget): readonly StartAction[] {
		const room = Math.max(0, budget.slots + budget.spare - attempts.countRunning(budget.allowed));
		return room === 0
			? []
			: attempts.all()
				.filter(attempt => canBeHedged(attempt, now))
				.map(attempt => ({attempt, savedMs: policy.savedByHedge(attempt, expectTokens(table.get(attempt.sample), attempt.progress.tokens), now)}))
				.filter(({savedMs}) => savedMs > 0)
				.toSorted((a, b) => b.savedMs - a.savedMs)
				.slice(0, room)
				.map(({attempt}) => start(table.get(attempt.sample), keepable(attempt.progress, budget.weightVersion), {
					now, isHedge: true, excluded: attempt.serverId === undefined ? [] : [attempt.serverId],
				}));
	}

	return {
		table,
		wholeGroups,
		decide(now, budget) {
			const isWanted = createWantedTest();
			return [
				...cancelUnwanted(isWanted),
				...cancelOld(budget.weightVersion),
				...cancelStalled(now),
				...startPending(now, budget, isWanted),
				...startHedges(now, budget),
			];
		},
		noteDispatched(attemptId, serverId) {
			attempts.update(attemptId, {serverId});
		},
		noteChunk(attemptId, chunk, now) {
			const attempt = attempts.get(attemptId);
			if (attempt !== undefined) {
				attempts.update(attemptId, {
					progress: addChunk(attempt.progress, chunk),
					rate: updateRate(attempt, chunk.tokens, now),
					firstTokenAt: attempt.firstTokenAt ?? now,
					lastTokenAt: now,
				});
			}
		},
		noteWhole(attemptId, generation, now) {
			const attempt = attempts.get(attemptId);
			if (attempt === undefined) {
				return undefined;
			}

			const record = table.get(attempt.sample);
			const text = label(generation, attempt.progress);
			if (text === undefined) {
				endAttempt({...attempt, progress: noProgress}, {carried: noProgress, notBefore: now + FIRST_BACKOFF_MS});
				return undefined;
			}

			policy.noteEnd(attempt, now);
			forecast.note(keyOf(record), text.tokens);
			attempts.remove(attempt);
			table.update(record.index, {state: 'whole', text, carried: noProgress});
			return {sample: record.index, prompt: promptOf(record), text};
		},
		noteFailed(attemptId, failure, now) {
			const attempt = attempts.get(attemptId);
			if (attempt === undefined) {
				return;
			}

			const record = table.get(attempt.sample);
			const backoffMs = Math.min(LAST_BACKOFF_MS, FIRST_BACKOFF_MS * (2 ** record.failures));
			const died = failure.kind === 'died' && attempt.serverId !== undefined ? [attempt.serverId] : [];
			endAttempt(attempt, {
				notBefore: now + (failure.retryAfterMs ?? backoffMs),
				failures: record.failures + 1,
				avoided: [...record.avoided, ...died].slice(-2),
				deaths: [...new Set([...record.deaths, ...died])],
				isSuspect: record.isSuspect || (attempt.isAlone && died.length > 0),
			});
		},
		noteScored(whole, score) {
			const record = table.get(whole.sample);
			if (record.state === 'whole' && record.text === whole.text) {
				table.update(whole.sample, {state: 'ready', score});
			}
		},
		setFixed(fixedGroups, neededGroups) {
			fixed = new Set(fixedGroups);
			needed = new Set(neededGroups);
		},
		refresh(group, weightVersion, now) {
			table.ofGroup(group)
				.filter(record => record.text !== undefined && !rule.isFresh(record.text.ranges, weightVersion))
				.forEach(record => {
					table.reset(record.index, now);
				});
			return table.isWhole(group);
		},
		demand() {
			const isWanted = createWantedTest();
			const surplus = options.longestFirst ? findSurplus(isWanted) : new Set<number>();
			const open = table.all().filter(record => ['pending', 'running'].includes(record.state) && isWanted(record.group) && !surplus.has(record.group));
			return {
				samples: open.length,
				tokens: open.reduce((sum, record) => sum + expectTokens(record, record.carried.tokens) - record.carried.tokens, 0),
			};
		},
		isHopeless: () => groups().filter(group => fixed.has(group) || !table.isSuspect(group)).length < options.required,
	};
}
