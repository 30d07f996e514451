/** Checks from recorded admissions that several daemons together stayed within their grant. */
import type {Grant} from '../../../plans/common/lists.js';

/** Units taken from a grant at a point in time; negative when they are returned. */
export type Usage = {readonly at: number; readonly units: number};

/** Admissions of all daemons: requests, and reserved tokens, less those that were not generated. */
export type Admitted = {
	readonly grant: Grant;
	readonly requests: readonly Usage[];
	readonly tokens: readonly Usage[];
};

/**
 * Checks that usage exceeds the rate in no time window: a token bucket with `rate` units per second and a capacity of
 * `burst`, full at the start, must never drop below zero. Returns the largest excess, in units.
 */
export function checkRate(usages: readonly Usage[], rate: number, burst: number): number {
	return usages.toSorted((a, b) => a.at - b.at).reduce((state, {at, units}) => {
		const level = Math.min(burst, Math.min(burst, state.level + ((at - state.at) * rate / 1000)) - units);
		return {at, level, excess: Math.max(state.excess, -level)};
	}, {at: 0, level: burst, excess: 0}).excess;
}

/** Returns the largest excess of requests over the grant, in requests. */
export function checkGrant({requests, grant: {requestsPerSecond, burstSeconds}}: Admitted): number {
	return checkRate(requests, requestsPerSecond, requestsPerSecond * burstSeconds);
}

/** Returns the largest excess of tokens over the grant, in tokens. */
export function checkTokens({tokens, grant: {tokensPerSecond = 0, burstSeconds}}: Admitted): number {
	return checkRate(tokens, tokensPerSecond, tokensPerSecond * burstSeconds);
}
