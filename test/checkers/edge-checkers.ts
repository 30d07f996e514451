/** Checks the guarantees only by what was observed outside the daemons. Each checker returns one line per violation. */
import {z} from 'zod';
import {hashToHex} from '../../src/base/common/hash.js';
import type {VersionRange} from '../../src/adapters/common/engine.js';
import type {ReceivedSample, TrainerRecord} from '../../src/standins/node/trainer-standin.js';
import {renderGeneration} from '../../src/standins/node/deterministic-text.js';
import type {CallEntry, EdgeRecord, StandinRecord} from '../edge-record.js';

const answerSchema = z.looseObject({
	echo: z.string().optional(),
	answer: z.string().optional(),
	text: z.string().default(''),
	versions: z.array(z.object({version: z.int(), from: z.int(), to: z.int()})).default([]),
});

/** Finds the violations of one guarantee in a record. */
export type Checker = (record: EdgeRecord) => readonly string[];

function listEntries<T>(record: EdgeRecord, select: (standin: StandinRecord) => readonly T[]): readonly T[] {
	return Object.values(record.standins).flatMap(standin => select(standin));
}

function effectOf(call: CallEntry): string | undefined {
	return call.status === 200 ? undefined : /"effect":"(\w+)"/.exec(call.answer)?.[1];
}

function promptOf(call: CallEntry): string {
	return z.object({prompt: z.string().default('')}).parse(JSON.parse(call.body)).prompt;
}

function findRepeated(values: readonly string[]): readonly string[] {
	return values.filter((value, index) => values.indexOf(value) !== index);
}

/** Whether an engine generated this text for the prompt, with the weight versions that its labels state. */
function isGenerated(record: EdgeRecord, prompt: string, text: string, versions: readonly VersionRange[]): boolean {
	const sources = listEntries(record, standin => standin.streams).filter(stream => stream.prompt === prompt);
	return sources.some(source => renderGeneration(source, versions) === text);
}

function isOwnAnswer(call: CallEntry, record: EdgeRecord): boolean {
	const answer = answerSchema.parse(JSON.parse(call.answer));
	if (call.route.endsWith('/stock/count')) {
		return answer.echo === call.body;
	}

	return call.route.endsWith('/completions')
		? isGenerated(record, promptOf(call), answer.text, answer.versions)
		: answer.answer === hashToHex(`POST /patterns/${call.body}`);
}

/** Every successful call received the answer to its own request. */
export const checkOwnAnswers: Checker = record => record.calls
	.filter(call => call.status === 200 && !isOwnAnswer(call, record))
	.map(call => `${call.route} ${call.body} received ${call.answer}`);

/** Every billing call ran at most once, and exactly once when its caller received a successful answer. */
export const checkAtMostOnce: Checker = record => {
	const runs: readonly string[] = listEntries(record, standin => standin.runs).map(run => run.body);
	const answeredWithoutRun = record.calls.filter(call => call.status === 200 && call.route.endsWith('/stock/count') && !runs.includes(call.body));
	return [...findRepeated(runs).map(body => `ran again: ${body}`), ...answeredWithoutRun.map(call => `answered but never ran: ${call.body}`)];
};

/** When all calls with the same body were refused as `notRun`, none of them reached a backend server. */
export const checkNotRun: Checker = record => {
	const reached = new Set([...listEntries(record, standin => standin.calls).map(call => call.body), ...listEntries(record, standin => standin.streams).map(stream => stream.prompt)]);
	const refusedAsNotRun = record.calls.filter(call => record.calls.filter(other => other.body === call.body).every(other => effectOf(other) === 'notRun'));
	return refusedAsNotRun.filter(call => reached.has(call.body) || reached.has(promptOf(call))).map(call => `refused as notRun, but reached a backend server: ${call.body}`);
};

/** Every call received a complete answer, or a problem that states what is known of its effect, unless its daemon was killed. */
export const checkAnswered: Checker = ({calls, killed}) => calls
	.filter(call => call.status !== 200 && effectOf(call) === undefined && !(call.status === 0 && killed.includes(call.daemon)))
	.map(call => `${call.route} at ${call.daemon}: ${call.status} ${call.answer}`);

/** Every call succeeded. */
export const checkAllSucceeded: Checker = ({calls}) => calls.filter(call => call.status !== 200).map(call => `${call.route} at ${call.daemon}: ${call.status} ${call.answer}`);

/** Whether a call was refused as suspect and at least two engines crashed while they ran its prompt, so that the refusal is correct. */
function isCrashedTwice(record: EdgeRecord, call: CallEntry): boolean {
	const prompt = promptOf(call);
	const crashed = Object.values(record.standins).filter(({streams}) => streams.some(stream => stream.prompt === prompt && stream.outcome === 'crashed'));
	return call.status === 422 && call.answer.includes('urn:rosemaryshore:suspect') && crashed.length >= 2;
}

/** Every call succeeded, except for calls that were refused as suspect after two engines had crashed while running them. */
export const checkAllSucceededUnlessSuspect: Checker = record => checkAllSucceeded({...record, calls: record.calls.filter(call => !isCrashedTwice(record, call))});

function checkSample(sample: ReceivedSample, trainer: TrainerRecord, record: EdgeRecord, weightVersion: number): readonly string[] {
	const prompt = trainer.step.prompts[Number(sample.group)] ?? '';
	const oldest = Math.min(...sample.versions.map(range => range.version));
	return [
		...(isGenerated(record, prompt, sample.text, sample.versions) ? [] : [`${sample.id} does not have the text that its labels imply: ${JSON.stringify(sample.versions)}`]),
		...(sample.versions.at(-1)?.to === sample.tokens ? [] : [`${sample.id} has tokens without a version label at its end`]),
		...(oldest === sample.oldestVersion ? [] : [`${sample.id} states ${sample.oldestVersion} as its oldest version, expected ${oldest}`]),
		...(weightVersion - oldest <= (trainer.step.stalenessBound ?? 1) ? [] : [`${sample.id} is too old: generated by version ${oldest}, current version ${weightVersion}`]),
	];
}

/** Samples match their labels and are within the staleness bound, and each is delivered once. */
export const checkSamples: Checker = record => record.steps.flatMap(trainer => {
	const ids = trainer.batches.flatMap(batch => batch.samples.map(sample => sample.id));
	const numbers = trainer.batches.filter(batch => batch.samples.length > 0).map(batch => String(batch.batch));
	return [
		...findRepeated(ids).map(id => `${id} was delivered twice`),
		...findRepeated(numbers).map(batch => `batch ${batch} was delivered twice`),
		...trainer.batches.flatMap(batch => batch.samples.flatMap(sample => checkSample(sample, trainer, record, batch.weightVersion))),
	];
});

/** Every step was delivered completely. */
export const checkCompleteSteps: Checker = record => record.steps.flatMap(({step, batches, done, errors}) => {
	const count = batches.flatMap(batch => batch.samples).length;
	const expected = step.prompts.length * step.samplesPerGroup;
	return done && count === expected ? [] : [`step ${step.step}: ${count} of ${expected} samples, done ${done}; ${errors.slice(-3).join('; ')}`];
});

/** No engine accepted an order after one with a higher fencing number. */
export const checkFencing: Checker = ({standins}) => Object.entries(standins).flatMap(([engine, {orders}]) => {
	const accepted = orders.filter(order => order.verdict === 'accepted');
	return accepted
		.filter((order, index) => accepted.slice(0, index).some(earlier => earlier.fencing > order.fencing))
		.map(order => `${engine} accepted an order of version ${order.version} with the old fencing number ${order.fencing}`);
});

/** The configuration version of a daemon never decreased. */
export const checkConfiguration: Checker = ({configurations}) => configurations.flatMap(({daemon, version}, index) => {
	const before = configurations.slice(0, index).findLast(earlier => earlier.daemon === daemon)?.version ?? 0;
	return version < before ? [`${daemon} reverted from configuration ${before} to ${version}`] : [];
});

/** Creates a check that in no interval, from the sending of one call to the answer of another, more calls began and ended than a grant with a burst of one second admits. */
export function createGrantCheck(requestsPerSecond: number): Checker {
	return ({calls}) => {
		const served = calls.filter(call => call.status === 200);
		return served.flatMap(({sentAt}) => {
			const later = served.filter(call => call.sentAt >= sentAt).toSorted((a, b) => a.answeredAt - b.answeredAt);
			const firstExcess = later.findIndex((call, index) => index + 1 > requestsPerSecond * (1 + ((call.answeredAt - sentAt) / 1000)));
			return firstExcess === -1 ? [] : [`${firstExcess + 1} calls were served within ${(later[firstExcess]?.answeredAt ?? sentAt) - sentAt} ms`];
		});
	};
}

/** The checks that hold in every scenario. */
export const safetyCheckers: readonly Checker[] = [checkOwnAnswers, checkAtMostOnce, checkNotRun, checkAnswered, checkSamples, checkFencing, checkConfiguration];
