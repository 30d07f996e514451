/** Checks that what several daemons admitted is within their grant, from the record of admissions alone. */
import type {Grant} from '../../../plans/common/lists.js';

/** Units taken from a grant at a time; negative when they are given back. */
export type Use = {readonly at: number; readonly units: number};

/** What all daemons together admitted: requests, and tokens reserved less those that were not generated. */
export type Admitted = {
	readonly grant: Grant;
	readonly requests: readonly Use[];
	readonly tokens: readonly Use[];
};

/**
 * Checks from the record alone that no window of time holds more than a rate: a bucket of `rate` per second that holds one
 * burst, full at the start, must never run dry. Returns the largest excess, in units.
 */
export function checkRate(uses: readonly Use[], rate: number, burst: number): number {
	return uses.toSorted((a, b) => a.at - b.at).reduce((state, {at, units}) => {
		const level = Math.min(burst, Math.min(burst, state.level + ((at - state.at) * rate / 1000)) - units);
		return {at, level, excess: Math.max(state.excess, -level)};
	}, {at: 0, level: burst, excess: 0}).excess;
}

/** The largest excess of requests over the grant, in requests. */
export function checkGrant({requests, grant: {requestsPerSecond, burstSeconds}}: Admitted): number {
	return checkRate(requests, requestsPerSecond, requestsPerSecond * burstSeconds);
}

/** The largest excess of tokens over the grant, in tokens. */
export function checkTokens({tokens, grant: {tokensPerSecond = 0, burstSeconds}}: Admitted): number {
	return checkRate(tokens, tokensPerSecond, tokensPerSecond * burstSeconds);
}
