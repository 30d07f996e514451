/** Scoring is retried after failures until it succeeds, and ends when it is disposed with its step. */
import {err, ok} from 'neverthrow';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createVirtualTime} from '../../../test/fakes/virtual-loop.js';
import {createOutcomeUnknown, type Failure} from '../../base/common/failure.js';
import {Scorer} from '../../adapters/common/scorer.js';
import {createScoreRetries} from '../common/score-retries.js';

const test = suite('score retries');
const failure = createOutcomeUnknown('unavailable', {step: 'score sample', peer: 'scorer'}, 'down');
const request = {sampleId: 's', prompt: 'p', text: 't'};

function createScorer(failures: number): {readonly scorer: Scorer; readonly calls: () => number} {
	let calls = 0;
	const scorer = new (class extends Scorer {
		override async score() {
			calls += 1;
			return calls <= failures ? err<number, Failure>(failure) : ok<number, Failure>(0.5);
		}
	})();
	return {scorer, calls: () => calls};
}

test('retries until the scoring service is available again', async () => {
	const time = createVirtualTime();
	const {scorer, calls} = createScorer(4);
	const scored = createScoreRetries(scorer, time.loop, () => undefined).score(request);
	await time.advance(10_000);
	assert.equal([await scored, calls()], [0.5, 5]);
});

test('makes no further call after dispose, and resolves without a score', async () => {
	const time = createVirtualTime();
	const {scorer, calls} = createScorer(Number.POSITIVE_INFINITY);
	const retries = createScoreRetries(scorer, time.loop, () => undefined);
	const scored = retries.score(request);
	await time.advance(1000);
	retries.dispose();
	const before = calls();
	await time.advance(60_000);
	assert.equal([await scored, calls()], [undefined, before]);
});

test.run();
