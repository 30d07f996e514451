/** Executes the schedule of one step on this daemon: starts and cancels streams, and scores complete texts. */
import {createEmitter, type Event} from '../../base/common/event.js';
import type {GenerationRunner} from './generation-runner.js';
import type {ScoreRetries} from './score-retries.js';
import {sampleId, type Sample, type StepRequest} from './step.js';
import type {StepSchedule} from './step-schedule.js';
import type {
	StreamBudget, ScheduleAction, StartAction, CompleteText,
} from './stream-actions.js';

/** Dependencies of a run. */
export type StepRunOptions = {
	readonly request: StepRequest;
	readonly schedule: StepSchedule;
	readonly runner: GenerationRunner;
	/** Scores the samples; without it they are delivered without a score. */
	readonly scores: ScoreRetries | undefined;
	readonly monotonic: () => number;
};

/** The generation of one step on this daemon. */
export type StepRun = {
	readonly request: StepRequest;
	readonly schedule: StepSchedule;
	/** Starts and cancels streams as the schedule decides. */
	readonly run: (now: number, budget: StreamBudget) => void;
	/** Returns the number of running streams. */
	readonly running: () => number;
	/** Returns the samples of complete groups. */
	readonly samples: (groups: readonly number[]) => readonly Sample[];
	/** Fires when a stream or the scoring of a text has ended. */
	readonly onDidProgress: Event<void>;
	readonly dispose: () => void;
};

/** Creates the run of a step. */
export function createStepRun(options: StepRunOptions): StepRun {
	const {
		request, schedule, runner, scores, monotonic,
	} = options;
	const controllerByAttempt = new Map<string, AbortController>();
	const progress = createEmitter<void>();

	function idOf(index: number): string {
		const {group} = schedule.table.get(index);
		return sampleId(request.trainer, request.step, group, index % request.samplesPerGroup);
	}

	async function score(completeText: CompleteText): Promise<void> {
		const value = await scores?.score({sampleId: idOf(completeText.sample), prompt: completeText.prompt, text: completeText.text.text});
		if (scores === undefined || value !== undefined) {
			schedule.recordScored(completeText, value);
			progress.fire();
		}
	}

	async function start(action: StartAction, allowed: readonly string[]): Promise<void> {
		const {attemptId} = action;
		const controller = new AbortController();
		controllerByAttempt.set(attemptId, controller);
		const generated = await runner.run({
			start: action,
			sampleId: idOf(action.sample),
			prefixKey: `${request.trainer}.${request.step}.${action.group}`,
			maximumTokens: request.maximumTokens,
			allowed,
		}, {
			onDispatched(serverId) {
				schedule.recordDispatched(attemptId, serverId);
			},
			onChunk(chunk) {
				schedule.recordChunk(attemptId, chunk, monotonic());
			},
		}, controller.signal);
		controllerByAttempt.delete(attemptId);
		generated.match(generation => {
			const completeText = schedule.recordComplete(attemptId, generation, monotonic());
			if (completeText !== undefined) {
				void score(completeText);
			}
		}, failure => {
			schedule.recordFailed(attemptId, failure, monotonic());
		});
		progress.fire();
	}

	function execute(action: ScheduleAction, allowed: readonly string[]): void {
		if (action.kind === 'start') {
			void start(action, allowed);
			return;
		}

		controllerByAttempt.get(action.attemptId)?.abort();
	}

	function toSample(index: number): Sample {
		const record = schedule.table.get(index);
		if (record.text === undefined) {
			throw new Error(`sample ${idOf(index)} of a complete group has no text`);
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
				execute(action, budget.allowed);
			});
		},
		running: () => controllerByAttempt.size,
		samples: groups => groups.flatMap(group => schedule.table.samplesOfGroup(group).map(record => toSample(record.index))),
		onDidProgress: progress.event,
		dispose() {
			scores?.dispose();
			[...controllerByAttempt.values()].forEach(controller => {
				controller.abort();
			});
		},
	};
}
