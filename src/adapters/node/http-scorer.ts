/** A scoring service over HTTP. */
import {err, ok} from 'neverthrow';
import {z} from 'zod';
import {createOutcomeUnknown} from '../../base/common/failure.js';
import type {RemotePeer} from '../common/adapters.js';
import {Scorer, type ScoreRequest} from '../common/scorer.js';
import {callJson, createHttpClient} from './http-client.js';

const score = z.object({sampleId: z.string(), score: z.number()});

/** Creates the scoring service at a peer. */
export function createHttpScorer(remote: RemotePeer): Scorer {
	const client = createHttpClient(remote.url);
	return new (class extends Scorer {
		override async score(request: ScoreRequest) {
			const step = 'score sample';
			const scored = await callJson(client, {
				step, method: 'POST', path: '/score', json: request, timeoutMs: remote.timeoutMs,
			}, score);
			return scored.andThen(response => (response.sampleId === request.sampleId
				? ok(response.score)
				: err(createOutcomeUnknown('incomplete', {step, peer: client.peer}, `the response has the id of sample ${response.sampleId}`))));
		}
	})();
}
