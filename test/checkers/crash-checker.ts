/** Checks how often a request reaches servers after it has crashed three of them, from the arrivals at the servers. */

/** A request that began to run on a server. */
export type CrashArrival = {
	readonly content: string;
	readonly serverId: string;
	readonly daemon: string;
	readonly at: number;
};

/** A server that crashed, and the request that crashed it; undefined where the cause was another. */
export type SeenCrash = {
	readonly serverId: string;
	readonly cause: string | undefined;
	readonly at: number;
};

/** The record of one run. */
export type CrashRecord = {
	readonly arrivals: readonly CrashArrival[];
	readonly crashes: readonly SeenCrash[];
	/** Whether a daemon ran and could reach all others and the store for `STABLE_MS` before a time. */
	readonly isInTouch: (daemon: string, at: number) => boolean;
};

/** Time after which all daemons in touch must know of a crash. */
export const STABLE_MS = 4000;
const CRASHES_TO_REFUSE = 3;
const MAXIMUM_FURTHER_ARRIVALS = 3;

/** Lists the requests that reached servers too often. */
export function findCrashViolations({arrivals, crashes, isInTouch}: CrashRecord): readonly string[] {
	const causes = [...new Set(crashes.flatMap(({cause}) => cause ?? []))];
	return causes.flatMap(content => {
		const third = crashes.filter(({cause}) => cause === content)[CRASHES_TO_REFUSE - 1];
		const late = third === undefined ? [] : arrivals.filter(arrival => arrival.content === content && arrival.at > third.at + STABLE_MS && isInTouch(arrival.daemon, arrival.at));
		return late.length > MAXIMUM_FURTHER_ARRIVALS ? [`${content} reached servers ${late.length} times later than ${STABLE_MS} ms after it had crashed the third`] : [];
	});
}
