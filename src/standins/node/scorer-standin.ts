/** Stand-in for a scoring service: the score is a pure function of prompt and text. */
import {z} from 'zod';
import {hashToUint32} from '../../base/common/hash.js';
import {createStandin, type Standin} from './standin-server.js';

const scoreBody = z.object({sampleId: z.string(), prompt: z.string(), text: z.string()});

/** Returns the score of a sample, from 0 to 1. */
export function computeScore(prompt: string, text: string): number {
	return (hashToUint32(`${prompt}/${text}`) % 1000) / 1000;
}

/** Creates a stand-in for a scoring service. */
export function createScorerStandin(): Standin {
	const scored: string[] = [];
	return createStandin({
		record: () => ({scored}),
		handle(request) {
			const {sampleId, prompt, text} = scoreBody.parse(JSON.parse(request.body));
			scored.push(sampleId);
			return {json: {sampleId, score: computeScore(prompt, text)}};
		},
	});
}
