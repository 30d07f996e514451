/** Carries out the schedule of one step on this daemon: starts and cancels streams, and scores whole texts. */
import {createEmitter, type Event} from '../../base/common/event.js';
import type {GenerationRunner} from './generation-runner.js';
import type {ScoreRetries} from './score-retries.js';
import {sampleId, type Sample, type StepRequest} from './step.js';
import type {StepSchedule} from './step-schedule.js';
import type {
	Budget, ScheduleAction, StartAction, WholeText,
} from './stream-actions.js';

/** What a run needs. */
export type StepRunOptions = {
	readonly request: StepRequest;
	readonly schedule: StepSchedule;
	readonly runner: GenerationRunner;
	/** Undefined leaves samples unrated. */
	readonly scores: ScoreRetries | undefined;
	readonly monotonic: () => number;
};

/** A step that this daemon generates. */
export type StepRun = {
	readonly request: StepRequest;
	readonly schedule: StepSchedule;
	/** Starts and cancels what is due. */
	readonly run: (now: number, budget: Budget) => void;
	/** Streams under way. */
	readonly running: () => number;
	/** The samples of whole groups. */
	readonly samples: (groups: readonly number[]) => readonly Sample[];
	/** Fires when a stream or a score has ended. */
	readonly onDidProgress: Event<void>;
	readonly dispose: () => void;
};

/** Creates the run of a step. */
export function createStepRun(options: StepRunOptions): StepRun {
	const {
		request, schedule, runner, scores, monotonic,
	} = options;
	const streams = new Map<string, AbortController>();
	const progress = createEmitter<void>();

	function idOf(index: number): string {
		const {group} = schedule.table.get(index);
		return sampleId(request.trainer, request.step, group, index % request.samplesPerGroup);
	}

	async function score(whole: WholeText): Promise<void> {
		const value = await scores?.score({sampleId: idOf(whole.sample), prompt: whole.prompt, text: whole.text.text});
		if (scores === undefined || value !== undefined) {
			schedule.noteScored(whole, value);
			progress.fire();
		}
	}

	async function start(action: StartAction, allowed: readonly string[]): Promise<void> {
		const {attemptId} = action;
		const controller = new AbortController();
		streams.set(attemptId, controller);
		const generated = await runner.run({
			start: action,
			sampleId: idOf(action.sample),
			prefixKey: `${request.trainer}.${request.step}.${action.group}`,
			maximumTokens: request.maximumTokens,
			allowed,
		}, {
			onDispatched(serverId) {
				schedule.noteDispatched(attemptId, serverId);
			},
			onChunk(chunk) {
				schedule.noteChunk(attemptId, chunk, monotonic());
			},
		}, controller.signal);
		streams.delete(attemptId);
		generated.match(generation => {
			const whole = schedule.noteWhole(attemptId, generation, monotonic());
			if (whole !== undefined) {
				void score(whole);
			}
		}, failure => {
			schedule.noteFailed(attemptId, failure, monotonic());
		});
		progress.fire();
	}

	function carryOut(action: ScheduleAction, allowed: readonly string[]): void {
		if (action.kind === 'start') {
			void start(action, allowed);
			return;
		}

		streams.get(action.attemptId)?.abort();
	}

	function toSample(index: number): Sample {
		const record = schedule.table.get(index);
		if (record.text === undefined) {
			throw new Error(`sample ${idOf(index)} has no text`);
		}

		return {
			id: idOf(index),
			group: record.group,
			text: record.text.text,
			tokens: record.text.tokens,
			...(record.score !== undefined && {score: record.score}),
			versions: record.text.ranges,
			oldestVersion: record.text.oldestVersion,
		};
	}

	return {
		request,
		schedule,
		run(now, budget) {
			schedule.decide(now, budget).forEach(action => {
				carryOut(action, budget.allowed);
			});
		},
		running: () => streams.size,
		samples: groups => groups.flatMap(group => schedule.table.ofGroup(group).map(record => toSample(record.index))),
		onDidProgress: progress.event,
		dispose() {
			scores?.dispose();
			[...streams.values()].forEach(controller => {
				controller.abort();
			});
		},
	};
}
