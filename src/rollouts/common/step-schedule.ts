/**
 * Decides, for one step, which streams to start, to resume on another engine, to hedge by a second stream, and to cancel. It
 * counts complete groups, keeps partial texts while the staleness bound allows it, and starts the samples with the longest
 * expected length first, because the whole step would wait for a long sample that starts late.
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
	AttemptFailure, StreamBudget, CancelAction, ScheduleAction, StartAction, StepDemand, CompleteText,
} from './stream-actions.js';

/** The schedule of one step. */
export type StepSchedule = {
	readonly table: SampleTable;
	/** Returns the streams to start and to cancel now, and updates the schedule as if they were. */
	readonly decide: (now: number, budget: StreamBudget) => readonly ScheduleAction[];
	readonly recordDispatched: (attemptId: string, serverId: string) => void;
	readonly recordChunk: (attemptId: string, chunk: Parameters<typeof addChunk>[1], now: number) => void;
	/** Records a complete generation. Returns the text to score; undefined when the attempt has ended or the text can't be labelled. */
	readonly recordComplete: (attemptId: string, generation: Generation, now: number) => CompleteText | undefined;
	readonly recordFailed: (attemptId: string, failure: AttemptFailure, now: number) => void;
	/** Records the score of a text; ignored when the sample was reset in the meantime. */
	readonly recordScored: (completeText: CompleteText, score: number | undefined) => void;
	/** Sets the groups that are assigned to batches, and the subset of them that the trainer has not received yet. */
	readonly setAssignedGroups: (assigned: readonly number[], needed: readonly number[]) => void;
	/** Resets the samples of a group that are too old for `weightVersion`; returns whether the group is still complete. */
	readonly resetStaleSamples: (group: number, weightVersion: number, now: number) => boolean;
	/** Returns the complete groups that are not assigned to a batch, in the order of delivery. */
	readonly completeGroups: () => readonly number[];
	readonly demand: () => StepDemand;
};

const INITIAL_BACKOFF_MS = 100;
const MAXIMUM_BACKOFF_MS = 5000;

/** Creates the schedule of one step. */
export function createStepSchedule(options: ScheduleOptions): StepSchedule {
	const {request, forecast} = options;
	const label = options.label ?? labelGeneration;
	const table = createSampleTable(request.prompts.length, request.samplesPerGroup);
	const policy = createStragglerPolicy(options);
	const rule = options.rule ?? createStalenessRule(options.stalenessBound);
	const attempts = createAttemptTable();
	let assigned: ReadonlySet<number> = new Set();
	let needed: ReadonlySet<number> = new Set();
	let lastAttempt = 0;

	const keys = request.prompts.map(prompt => forecast.keyOf(prompt));
	const keyOf = (record: SampleRecord) => keys[record.group] ?? 0;
	const promptOf = (record: SampleRecord) => request.prompts[record.group] ?? '';
	const groups = () => request.prompts.map((_, group) => group);
	const completeGroups = () => groups().filter(group => !assigned.has(group) && table.isGroupComplete(group));

	function hasEnoughGroups(): boolean {
		return assigned.size + completeGroups().length >= options.required;
	}

	/** Returns a predicate that tells whether the samples of a group are still needed. */
	function createWantedPredicate(): (group: number) => boolean {
		const hasEnough = hasEnoughGroups();
		return group => needed.has(group) || (!hasEnough && !assigned.has(group));
	}

	function expectTokens(record: SampleRecord, tokens: number): number {
		return forecast.expect(keyOf(record), tokens, request.maximumTokens);
	}

	function chooseResumable(progress: LabelledProgress, weightVersion: number): LabelledProgress {
		const isResumable = options.canResume && progress.isLabelled && progress.tokens > 0 && rule.isFresh(progress.ranges, weightVersion);
		return isResumable ? progress : noProgress;
	}

	function isStale(progress: LabelledProgress, weightVersion: number): boolean {
		return progress.ranges.length > 0 && !rule.isFresh(progress.ranges, weightVersion);
	}

	/** Ends an attempt. Its sample keeps the longest labelled progress, and is pending again when no other attempt runs. */
	function endAttempt(attempt: Attempt, change: Partial<SampleRecord>): void {
		attempts.remove(attempt);
		const record = table.get(attempt.sample);
		if (record.state !== 'running') {
			return;
		}

		const resumable = [record.resumable, attempt.progress].filter(progress => progress.isLabelled).toSorted((a, b) => b.tokens - a.tokens).at(0) ?? noProgress;
		const state = attempts.countStreams(attempt.sample) > 0 ? 'running' : 'pending';
		table.update(attempt.sample, {...change, resumable, state});
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

	function cancelStale(weightVersion: number): readonly CancelAction[] {
		return attempts.all().filter(attempt => isStale(attempt.progress, weightVersion)).map(attempt => cancel(attempt, {}));
	}

	function cancelStalled(now: number): readonly CancelAction[] {
		return attempts.all().filter(attempt => policy.isStalled(attempt, now)).map(attempt => {
			const {avoidedServerIds} = table.get(attempt.sample);
			return cancel(attempt, attempt.serverId === undefined ? {} : {avoidedServerIds: [...avoidedServerIds, attempt.serverId].slice(-2)});
		});
	}

	function start(record: SampleRecord, progress: LabelledProgress, details: {readonly now: number; readonly isHedge: boolean; readonly excluded: readonly string[]}): StartAction {
		lastAttempt += 1;
		const attemptId = `${options.attemptPrefix}.${record.index}.${lastAttempt}`;
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
		};
	}

	function expectRemaining(record: SampleRecord): number {
		return expectTokens(record, record.resumable.tokens) - record.resumable.tokens;
	}

	function findSurplus(isWanted: (group: number) => boolean): ReadonlySet<number> {
		const openGroups = groups()
			.filter(group => isWanted(group) && !assigned.has(group) && !table.isGroupComplete(group))
			.map(group => ({group, longest: Math.max(...table.samplesOfGroup(group).map(record => record.text === undefined ? expectRemaining(record) : 0))}));
		return chooseSurplus(openGroups, options.required - assigned.size - completeGroups().length);
	}

	function choosePending(now: number, isWanted: (group: number) => boolean): readonly SampleRecord[] {
		const wanted = table.all().filter(record => record.state === 'pending' && record.notBefore <= now && isWanted(record.group));
		if (!options.longestFirst || wanted.length === 0) {
			return wanted;
		}

		const candidates = wanted.map(record => ({...record, remaining: expectRemaining(record)}));
		const surplus = findSurplus(isWanted);
		return orderStarts(candidates.filter(({group}) => !surplus.has(group)), needed);
	}

	function startPending(now: number, budget: StreamBudget, isWanted: (group: number) => boolean): readonly StartAction[] {
		const availableSlots = Math.max(0, budget.slots - attempts.countRunning(budget.allowed));
		return choosePending(now, isWanted).slice(0, availableSlots).map(record =>
			start(record, chooseResumable(record.resumable, budget.weightVersion), {now, isHedge: false, excluded: record.avoidedServerIds}));
	}

	function canBeHedged(attempt: Attempt, now: number): boolean {
		const isOnlyStream = !attempt.isHedge && attempts.countStreams(attempt.sample) === 1;
		// After a refusal of the second stream, no other one is started before the retry-after time.
		return isOnlyStream && attempt.serverId !== undefined && table.get(attempt.sample).notBefore <= now;
	}

	function startHedges(now: number, budget: StreamBudget): readonly StartAction[] {
		const availableSlots = Math.max(0, budget.slots + budget.spare - attempts.countRunning(budget.allowed));
		return availableSlots === 0
			? []
			: attempts.all()
				.filter(attempt => canBeHedged(attempt, now))
				.map(attempt => ({attempt, savedMs: policy.savedMsByHedge(attempt, expectTokens(table.get(attempt.sample), attempt.progress.tokens), now)}))
				.filter(({savedMs}) => savedMs > 0)
				.toSorted((a, b) => b.savedMs - a.savedMs)
				.slice(0, availableSlots)
				.map(({attempt}) => start(table.get(attempt.sample), chooseResumable(attempt.progress, budget.weightVersion), {
					now, isHedge: true, excluded: attempt.serverId === undefined ? [] : [attempt.serverId],
				}));
	}

	return {
		table,
		completeGroups,
		decide(now, budget) {
			const isWanted = createWantedPredicate();
			return [
				...cancelUnwanted(isWanted),
				...cancelStale(budget.weightVersion),
				...cancelStalled(now),
				...startPending(now, budget, isWanted),
				...startHedges(now, budget),
			];
		},
		recordDispatched(attemptId, serverId) {
			attempts.update(attemptId, {serverId});
		},
		recordChunk(attemptId, chunk, now) {
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
		recordComplete(attemptId, generation, now) {
			const attempt = attempts.get(attemptId);
			if (attempt === undefined) {
				return undefined;
			}

			const record = table.get(attempt.sample);
			const text = label(generation, attempt.progress);
			if (text === undefined) {
				endAttempt({...attempt, progress: noProgress}, {resumable: noProgress, notBefore: now + INITIAL_BACKOFF_MS});
				return undefined;
			}

			policy.recordEnd(attempt, now);
			forecast.record(keyOf(record), text.tokens);
			attempts.remove(attempt);
			table.update(record.index, {state: 'whole', text, resumable: noProgress});
			return {sample: record.index, prompt: promptOf(record), text};
		},
		recordFailed(attemptId, failure, now) {
			const attempt = attempts.get(attemptId);
			if (attempt === undefined) {
				return;
			}

			const record = table.get(attempt.sample);
			const backoffMs = Math.min(MAXIMUM_BACKOFF_MS, INITIAL_BACKOFF_MS * (2 ** record.failures));
			const crashedServerIds = failure.kind === 'died' && attempt.serverId !== undefined ? [attempt.serverId] : [];
			endAttempt(attempt, {
				notBefore: now + (failure.retryAfterMs ?? backoffMs),
				failures: record.failures + 1,
				avoidedServerIds: [...record.avoidedServerIds, ...crashedServerIds].slice(-2),
			});
		},
		recordScored(completeText, score) {
			const record = table.get(completeText.sample);
			if (record.state === 'whole' && record.text === completeText.text) {
				table.update(completeText.sample, {state: 'ready', score});
			}
		},
		setAssignedGroups(assignedGroups, neededGroups) {
			assigned = new Set(assignedGroups);
			needed = new Set(neededGroups);
		},
		resetStaleSamples(group, weightVersion, now) {
			table.samplesOfGroup(group)
				.filter(record => record.text !== undefined && !rule.isFresh(record.text.ranges, weightVersion))
				.forEach(record => {
					table.reset(record.index, now);
				});
			return table.isGroupComplete(group);
		},
		demand() {
			const isWanted = createWantedPredicate();
			const surplus = options.longestFirst ? findSurplus(isWanted) : new Set<number>();
			const openSamples = table.all().filter(record => ['pending', 'running'].includes(record.state) && isWanted(record.group) && !surplus.has(record.group));
			return {
				samples: openSamples.length,
				tokens: openSamples.reduce((sum, record) => sum + expectTokens(record, record.resumable.tokens) - record.resumable.tokens, 0),
			};
		},
	};
}
