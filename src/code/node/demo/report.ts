/** Judges a training step by what the trainer and the engines saw, without looking into the daemons. */
import {renderGeneration} from '../../../standins/node/deterministic-text.js';
import type {StreamEntry} from '../../../standins/node/engine-standin.js';
import type {ReceivedBatch, ReceivedSample, TrainerRecord} from '../../../standins/node/trainer-standin.js';

/** The figures of a step. All but the last are numbers of samples. */
export type StepFigures = {
	readonly asked: number;
	readonly delivered: number;
	/** Handed over more than once. */
	readonly doubled: number;
	/** Older than the staleness bound at their hand-over. */
	readonly stale: number;
	/** Whose text the named weight versions cannot have produced. */
	readonly mislabelled: number;
	/** Whose text newer weights than the step began with produced, in whole or in part. */
	readonly fromNewWeights: number;
	/** Whose text more than one weight version produced. */
	readonly mixedVersions: number;
	/** Milliseconds that the trainer waited for samples. */
	readonly trainerIdleMs: number;
};

type Delivery = {
	readonly sample: ReceivedSample;
	/** The trainer's own version at the hand-over. */
	readonly weightVersion: number;
};

function listDeliveries(batches: readonly ReceivedBatch[]): readonly Delivery[] {
	return batches.flatMap(batch => batch.samples.map(sample => ({sample, weightVersion: batch.weightVersion})));
}

function oldestVersion(sample: ReceivedSample): number {
	return Math.min(...sample.versions.map(range => range.version));
}

/** Whether some stream of the sample's prompt would have read the same under the versions that the sample names. */
function isLabelledTruly(sample: ReceivedSample, prompt: string, streams: readonly StreamEntry[]): boolean {
	return streams
		.filter(stream => stream.prompt === prompt)
		.some(stream => renderGeneration(stream, sample.versions) === sample.text);
}

/** Computes the figures of a step. `bound` is the greatest allowed distance in weight versions. */
export function judgeStep(record: TrainerRecord, streams: readonly StreamEntry[], bound: number): StepFigures {
	const {prompts, samplesPerGroup} = record.step;
	const deliveries = listDeliveries(record.batches);
	const delivered = new Set(deliveries.map(({sample}) => sample.id)).size;
	return {
		asked: prompts.length * samplesPerGroup,
		delivered,
		doubled: deliveries.length - delivered,
		stale: deliveries.filter(({sample, weightVersion}) => weightVersion - oldestVersion(sample) > bound).length,
		mislabelled: deliveries.filter(({sample}) => !isLabelledTruly(sample, prompts[Number(sample.group)] ?? '', streams)).length,
		fromNewWeights: deliveries.filter(({sample}) => sample.versions.some(range => range.version > record.step.weightVersion)).length,
		mixedVersions: deliveries.filter(({sample}) => new Set(sample.versions.map(range => range.version)).size > 1).length,
		trainerIdleMs: Math.round(record.idleMs),
	};
}

/** Whether every guarantee of the step held. */
export function isWhole(figures: StepFigures): boolean {
	return figures.delivered >= figures.asked && figures.doubled + figures.stale + figures.mislabelled === 0;
}
