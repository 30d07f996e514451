/** Evaluates a training step from the records of the trainer and the engines only, without internal state of the daemons. */
import {renderGeneration} from '../../../standins/node/deterministic-text.js';
import type {StreamEntry} from '../../../standins/node/engine-standin.js';
import type {ReceivedBatch, ReceivedSample, TrainerRecord} from '../../../standins/node/trainer-standin.js';

/** Figures of a step. All are numbers of samples, except `trainerIdleMs`. */
export type StepFigures = {
	readonly asked: number;
	readonly delivered: number;
	/** Deliveries of a sample that had already been delivered. */
	readonly doubled: number;
	/** Older than the staleness bound when they were delivered. */
	readonly stale: number;
	/** Samples whose text the weight versions in their label cannot have produced. */
	readonly mislabelled: number;
	/** Samples that weights newer than those at the start of the step generated, completely or in part. */
	readonly fromNewWeights: number;
	/** Samples whose text more than one weight version generated. */
	readonly mixedVersions: number;
	/** Milliseconds that the trainer waited for samples. */
	readonly trainerIdleMs: number;
};

type Delivery = {
	readonly sample: ReceivedSample;
	/** The trainer's weight version at the time of the delivery. */
	readonly weightVersion: number;
};

function listDeliveries(batches: readonly ReceivedBatch[]): readonly Delivery[] {
	return batches.flatMap(batch => batch.samples.map(sample => ({sample, weightVersion: batch.weightVersion})));
}

function findOldestVersion(sample: ReceivedSample): number {
	return Math.min(...sample.versions.map(range => range.version));
}

/** Whether regenerating a stream of the sample's prompt with the versions in the sample's label gives the sample's text. */
function isLabelCorrect(sample: ReceivedSample, prompt: string, streams: readonly StreamEntry[]): boolean {
	return streams
		.filter(stream => stream.prompt === prompt)
		.some(stream => renderGeneration(stream, sample.versions) === sample.text);
}

/** Computes the figures of a step. `stalenessBound` is the maximum allowed lag in weight versions. */
export function evaluateStep(record: TrainerRecord, streams: readonly StreamEntry[], stalenessBound: number): StepFigures {
	const {prompts, samplesPerGroup} = record.step;
	const deliveries = listDeliveries(record.batches);
	const delivered = new Set(deliveries.map(({sample}) => sample.id)).size;
	return {
		asked: prompts.length * samplesPerGroup,
		delivered,
		doubled: deliveries.length - delivered,
		stale: deliveries.filter(({sample, weightVersion}) => weightVersion - findOldestVersion(sample) > stalenessBound).length,
		mislabelled: deliveries.filter(({sample}) => !isLabelCorrect(sample, prompts[Number(sample.group)] ?? '', streams)).length,
		fromNewWeights: deliveries.filter(({sample}) => sample.versions.some(range => range.version > record.step.weightVersion)).length,
		mixedVersions: deliveries.filter(({sample}) => new Set(sample.versions.map(range => range.version)).size > 1).length,
		trainerIdleMs: Math.round(record.idleMs),
	};
}

/** Whether all samples were delivered, each once, within the staleness bound and with a correct label. */
export function hasMetGuarantees(figures: StepFigures): boolean {
	return figures.delivered >= figures.asked && figures.doubled + figures.stale + figures.mislabelled === 0;
}
