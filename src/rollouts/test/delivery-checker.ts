/** Judges rollouts by what the trainer saw at its edge. Knows nothing of ledgers, owners or schedules. */
import type {Batch} from '../common/step.js';

/** An answer that reached the trainer, with what the trainer had asked. */
export type SeenAnswer = {
	readonly weightVersion: number;
	readonly batch: Batch;
};

export type Expectation = {
	readonly stalenessBound: number;
	readonly samplesPerGroup: number;
	readonly requiredGroups: number;
	readonly steps: readonly number[];
};

function groupBy<K, T>(items: Iterable<T>, keyOf: (item: T) => K): ReadonlyMap<K, readonly T[]> {
	const groups = new Map<K, T[]>();
	[...items].forEach(item => {
		const key = keyOf(item);
		groups.set(key, [...groups.get(key) ?? [], item]);
	});
	return groups;
}

function checkRepetitions(answers: readonly SeenAnswer[]): readonly string[] {
	const filled = answers.map(answer => answer.batch).filter(batch => batch.samples.length > 0);
	const contents = groupBy(filled, batch => `${batch.step}/${batch.batch}`);
	return [...contents].filter(([, batches]) => new Set(batches.map(batch => batch.samples.map(sample => sample.id).toSorted().join(','))).size > 1)
		.map(([key]) => `batch ${key} was handed out with different samples`);
}

function checkOnce(answers: readonly SeenAnswer[]): readonly string[] {
	const places = answers.flatMap(({batch}) => batch.samples.map(sample => ({id: sample.id, place: `${batch.step}/${batch.batch}`})));
	return [...groupBy(places, entry => entry.id)].filter(([, entries]) => new Set(entries.map(entry => entry.place)).size > 1)
		.map(([id]) => `sample ${id} was handed out in several batches`);
}

function checkSample(sample: Batch['samples'][number], weightVersion: number, bound: number): readonly string[] {
	const truth = sample.text.split(';').filter(Boolean).map(Number);
	const labelled = sample.versions.flatMap(range => Array.from({length: range.to - range.from}, () => range.version));
	return [
		...(truth.join(',') === labelled.join(',') && truth.length === sample.tokens ? [] : [`sample ${sample.id} names versions that did not produce it`]),
		...(Math.min(...truth) < weightVersion - bound ? [`sample ${sample.id} is over its staleness bound`] : []),
	];
}

function checkWhole(answers: readonly SeenAnswer[], expectation: Expectation): readonly string[] {
	return expectation.steps.flatMap(step => {
		const samples = new Map(answers.filter(({batch}) => batch.step === step).flatMap(({batch}) => batch.samples.map(sample => [sample.id, sample.group])));
		const groups = [...groupBy(samples.values(), group => group).values()];
		const whole = groups.filter(members => members.length === expectation.samplesPerGroup);
		return [
			...(whole.length < expectation.requiredGroups ? [`step ${step} has ${whole.length} of ${expectation.requiredGroups} groups`] : []),
			...(whole.length < groups.length ? [`step ${step} has a group that is not whole`] : []),
		];
	});
}

/** Returns what is wrong; nothing when all guarantees held. */
export function checkDelivery(answers: readonly SeenAnswer[], expectation: Expectation): readonly string[] {
	return [
		...checkRepetitions(answers),
		...checkOnce(answers),
		...answers.flatMap(({batch, weightVersion}) => batch.samples.flatMap(sample => checkSample(sample, weightVersion, expectation.stalenessBound))),
		...checkWhole(answers, expectation),
	];
}
