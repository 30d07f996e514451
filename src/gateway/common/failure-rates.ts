/**
 * Recent failure rate of each backend server, as observed by one daemon. A server may fail some of its requests while its own
 * health check passes. Such a server is skipped for `SKIP_MS` and then tried again; the outcome of that request decides whether it
 * is skipped again.
 */

/** Failure rates as observed by one daemon. */
export type FailureRates = {
	readonly recordOutcome: (serverId: string, hasFailed: boolean, now: number) => void;
	/** Lists the given servers that should be skipped now. Returns an empty list when all of them are failing. */
	readonly listFailing: (serverIds: readonly string[], now: number) => readonly string[];
};

/** Weight of the newest outcome in the exponential moving average. */
const SMOOTHING_FACTOR = 0.25;
/** Failure rate from which a server is skipped. Requests that fail on every server are far rarer than this. */
const FAILING_RATE = 0.35;
/** Time for which a failing server is skipped, in milliseconds; about the deadline of a caller. */
const SKIP_MS = 2000;

type ServerRate = {
	readonly rate: number;
	readonly at: number;
};

/** Creates failure rates without any recorded outcome. */
export function createFailureRates(): FailureRates {
	const rateByServer = new Map<string, ServerRate>();
	return {
		recordOutcome(serverId, hasFailed, now) {
			const known = rateByServer.get(serverId);
			const rate = (known?.rate ?? 0) + (SMOOTHING_FACTOR * ((hasFailed ? 1 : 0) - (known?.rate ?? 0)));
			if (rate < SMOOTHING_FACTOR / 10) {
				rateByServer.delete(serverId);
				return;
			}

			rateByServer.set(serverId, {rate, at: now});
		},
		listFailing(serverIds, now) {
			const failing = serverIds.filter(serverId => {
				const entry = rateByServer.get(serverId);
				return entry !== undefined && entry.rate >= FAILING_RATE && now - entry.at < SKIP_MS;
			});
			return failing.length < serverIds.length ? failing : [];
		},
	};
}
