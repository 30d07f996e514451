/** Checks guarantees on what was seen at the edges alone. Each check returns one line per violation. */
import {z} from 'zod';
import {hashToHex} from '../../src/base/common/hash.js';
import type {VersionRange} from '../../src/adapters/common/engine.js';
import type {ReceivedSample, TrainerRecord} from '../../src/standins/node/trainer-standin.js';
import {renderGeneration} from '../../src/standins/node/deterministic-text.js';
import type {CallEntry, EdgeRecord, StandinRecord} from '../edge-record.js';

const wholeAnswer = z.looseObject({
	echo: z.string().optional(),
	answer: z.string().optional(),
	text: z.string().default(''),
	versions: z.array(z.object({version: z.int(), from: z.int(), to: z.int()})).default([]),
});

/** Returns the violations found in a record. */
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

function repeated(values: readonly string[]): readonly string[] {
	return values.filter((value, index) => values.indexOf(value) !== index);
}

/** Whether an engine generated the text for the prompt, with the versions that the labels name. */
function isGenerated(record: EdgeRecord, prompt: string, text: string, versions: readonly VersionRange[]): boolean {
	const sources = listEntries(record, standin => standin.streams).filter(stream => stream.prompt === prompt);
	return sources.some(source => renderGeneration(source, versions) === text);
}

function isOwnAnswer(call: CallEntry, record: EdgeRecord): boolean {
	const answer = wholeAnswer.parse(JSON.parse(call.answer));
	if (call.route.endsWith('/stock/count')) {
		return answer.echo === call.body;
	}

	return call.route.endsWith('/completions')
		? isGenerated(record, promptOf(call), answer.text, answer.versions)
		: answer.answer === hashToHex(`POST /patterns/${call.body}`);
}

/** A whole answer is the answer to its own request. */
export const checkOwnAnswers: Checker = record => record.calls
	.filter(call => call.status === 200 && !isOwnAnswer(call, record))
	.map(call => `${call.route} ${call.body} received ${call.answer}`);

/** A billing call runs at most once, and exactly once when its caller received the answer. */
export const checkAtMostOnce: Checker = record => {
	const runs: readonly string[] = listEntries(record, standin => standin.runs).map(run => run.body);
	const unrun = record.calls.filter(call => call.status === 200 && call.route.endsWith('/stock/count') && !runs.includes(call.body));
	return [...repeated(runs).map(body => `ran again: ${body}`), ...unrun.map(call => `answered but never ran: ${call.body}`)];
};

/** A body whose every call was refused as not run reached no backend server. */
export const checkNotRun: Checker = record => {
	const reached = new Set([...listEntries(record, standin => standin.calls).map(call => call.body), ...listEntries(record, standin => standin.streams).map(stream => stream.prompt)]);
	const claimed = record.calls.filter(call => record.calls.filter(other => other.body === call.body).every(other => effectOf(other) === 'notRun'));
	return claimed.filter(call => reached.has(call.body) || reached.has(promptOf(call))).map(call => `said not run, but ran: ${call.body}`);
};

/** Every call was answered whole, or with a problem that says what is known of its effect, unless its daemon was killed. */
export const checkAnswered: Checker = ({calls, killed}) => calls
	.filter(call => call.status !== 200 && effectOf(call) === undefined && !(call.status === 0 && killed.includes(call.daemon)))
	.map(call => `${call.route} at ${call.daemon}: ${call.status} ${call.answer}`);

/** Every call was answered with success. */
export const checkAllSucceeded: Checker = ({calls}) => calls.filter(call => call.status !== 200).map(call => `${call.route} at ${call.daemon}: ${call.status} ${call.answer}`);

/** Whether two engines crashed while they ran the prompt of a call, so that its refusal as a suspect is right. */
function isCrashedTwice(record: EdgeRecord, call: CallEntry): boolean {
	const prompt = promptOf(call);
	const crashed = Object.values(record.standins).filter(({streams}) => streams.some(stream => stream.prompt === prompt && stream.outcome === 'crashed'));
	return call.status === 422 && call.answer.includes('urn:rosemaryshore:suspect') && crashed.length >= 2;
}

/** Every call was answered with success, but for those that two engines crashed under. */
export const checkAllSucceededUnlessSuspect: Checker = record => checkAllSucceeded({...record, calls: record.calls.filter(call => !isCrashedTwice(record, call))});

function checkSample(sample: ReceivedSample, trainer: TrainerRecord, record: EdgeRecord, weightVersion: number): readonly string[] {
	const prompt = trainer.step.prompts[Number(sample.group)] ?? '';
	const oldest = Math.min(...sample.versions.map(range => range.version));
	return [
		...(isGenerated(record, prompt, sample.text, sample.versions) ? [] : [`${sample.id} does not bear the text of its labels ${JSON.stringify(sample.versions)}`]),
		...(sample.versions.at(-1)?.to === sample.tokens ? [] : [`${sample.id} is not labelled to its end`]),
		...(oldest === sample.oldestVersion ? [] : [`${sample.id} names ${sample.oldestVersion} as its oldest version, not ${oldest}`]),
		...(weightVersion - oldest <= (trainer.step.stalenessBound ?? 1) ? [] : [`${sample.id} is of version ${oldest} at ${weightVersion}`]),
	];
}

/** Samples are true to their labels and fresh, and each is delivered once. */
export const checkSamples: Checker = record => record.steps.flatMap(trainer => {
	const ids = trainer.batches.flatMap(batch => batch.samples.map(sample => sample.id));
	const numbers = trainer.batches.filter(batch => batch.samples.length > 0).map(batch => String(batch.batch));
	return [
		...repeated(ids).map(id => `${id} was delivered twice`),
		...repeated(numbers).map(batch => `batch ${batch} came twice`),
		...trainer.batches.flatMap(batch => batch.samples.flatMap(sample => checkSample(sample, trainer, record, batch.weightVersion))),
	];
});

/** Every step was delivered whole. */
export const checkWholeSteps: Checker = record => record.steps.flatMap(({step, batches, done, errors}) => {
	const count = batches.flatMap(batch => batch.samples).length;
	const expected = step.prompts.length * step.samplesPerGroup;
	return done && count === expected ? [] : [`step ${step.step}: ${count} of ${expected} samples, done ${done}; ${errors.slice(-3).join('; ')}`];
});

/** No engine accepts an order after one with a higher fencing number. */
export const checkFencing: Checker = ({standins}) => Object.entries(standins).flatMap(([engine, {orders}]) => {
	const accepted = orders.filter(order => order.verdict === 'accepted');
	return accepted
		.filter((order, index) => accepted.slice(0, index).some(earlier => earlier.fencing > order.fencing))
		.map(order => `${engine} accepted an order of version ${order.version} with the old fencing number ${order.fencing}`);
});

/** The configuration's version never goes back at a daemon. */
export const checkConfiguration: Checker = ({configurations}) => configurations.flatMap(({daemon, version}, index) => {
	const before = configurations.slice(0, index).findLast(earlier => earlier.daemon === daemon)?.version ?? 0;
	return version < before ? [`${daemon} went back from configuration ${before} to ${version}`] : [];
});

/** Within no time from a call's sending to a call's answer, more calls began and ended than a grant with a burst of a second admits. */
export function createGrantCheck(requestsPerSecond: number): Checker {
	return ({calls}) => {
		const served = calls.filter(call => call.status === 200);
		return served.flatMap(({sentAt}) => {
			const later = served.filter(call => call.sentAt >= sentAt).toSorted((a, b) => a.answeredAt - b.answeredAt);
			const beyond = later.findIndex((call, index) => index + 1 > requestsPerSecond * (1 + ((call.answeredAt - sentAt) / 1000)));
			return beyond === -1 ? [] : [`${beyond + 1} calls were served within ${(later[beyond]?.answeredAt ?? sentAt) - sentAt} ms`];
		});
	};
}

/** The checks that hold in every scenario. */
export const safetyCheckers: readonly Checker[] = [checkOwnAnswers, checkAtMostOnce, checkNotRun, checkAnswered, checkSamples, checkFencing, checkConfiguration];
