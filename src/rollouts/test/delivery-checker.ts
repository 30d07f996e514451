/** Checks the delivery guarantees from the batches that a trainer received, without access to ledgers, owners or schedules. */
import type {Batch} from '../common/step.js';

/** A batch that a trainer received, with the weight version that its pull had stated. */
export type ReceivedBatch = {
	readonly weightVersion: number;
	readonly batch: Batch;
};

export type DeliveryExpectation = {
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

function checkRepetitions(answers: readonly ReceivedBatch[]): readonly string[] {
	const nonEmpty = answers.map(answer => answer.batch).filter(batch => batch.samples.length > 0);
	const contents = groupBy(nonEmpty, batch => `${batch.step}/${batch.batch}`);
	return [...contents].filter(([, batches]) => new Set(batches.map(batch => batch.samples.map(sample => sample.id).toSorted().join(','))).size > 1)
		.map(([key]) => `batch ${key} was delivered with different samples`);
}

function checkDeliveredOnce(answers: readonly ReceivedBatch[]): readonly string[] {
	const deliveries = answers.flatMap(({batch}) => batch.samples.map(sample => ({id: sample.id, batchKey: `${batch.step}/${batch.batch}`})));
	return [...groupBy(deliveries, entry => entry.id)].filter(([, entries]) => new Set(entries.map(entry => entry.batchKey)).size > 1)
		.map(([id]) => `sample ${id} was delivered in several batches`);
}

function checkSample(sample: Batch['samples'][number], weightVersion: number, bound: number): readonly string[] {
	const actualVersions = sample.text.split(';').filter(Boolean).map(Number);
	const labelledVersions = sample.versions.flatMap(range => Array.from({length: range.to - range.from}, () => range.version));
	return [
		...(actualVersions.join(',') === labelledVersions.join(',') && actualVersions.length === sample.tokens ? [] : [`sample ${sample.id} names versions that did not generate it`]),
		...(Math.min(...actualVersions) < weightVersion - bound ? [`sample ${sample.id} is over its staleness bound`] : []),
	];
}

function checkCompleteness(answers: readonly ReceivedBatch[], expectation: DeliveryExpectation): readonly string[] {
	return expectation.steps.flatMap(step => {
		const samples = new Map(answers.filter(({batch}) => batch.step === step).flatMap(({batch}) => batch.samples.map(sample => [sample.id, sample.group])));
		const groups = [...groupBy(samples.values(), group => group).values()];
		const complete = groups.filter(members => members.length === expectation.samplesPerGroup);
		return [
			...(complete.length < expectation.requiredGroups ? [`step ${step} has ${complete.length} of ${expectation.requiredGroups} groups`] : []),
			...(complete.length < groups.length ? [`step ${step} has an incomplete group`] : []),
		];
	});
}

/** Returns the violated guarantees, one text each; empty when all guarantees hold. */
export function checkDelivery(answers: readonly ReceivedBatch[], expectation: DeliveryExpectation): readonly string[] {
	return [
		...checkRepetitions(answers),
		...checkDeliveredOnce(answers),
		...answers.flatMap(({batch, weightVersion}) => batch.samples.flatMap(sample => checkSample(sample, weightVersion, expectation.stalenessBound))),
		...checkCompleteness(answers, expectation),
	];
}
