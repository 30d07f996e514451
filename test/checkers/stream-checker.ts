/** Checks that no stream holds events of several software versions, and that callers can continue broken streams, from what the callers received. */

/** One request of a caller for a stream, or for the rest of one. */
export type StreamAttempt = {
	readonly streamId: string;
	readonly daemon: string;
	readonly sentAt: number;
	readonly tookMs: number;
	/** Software version that sent the first event of the stream; undefined when the request begins the stream. */
	readonly resumes: string | undefined;
	/** Whether at least one event arrived. */
	readonly hasEvents: boolean;
	/** Whether at least two servers of the stream's software version served when the request was sent. */
	readonly isVersionServing: boolean;
};

/** Software versions of the events of one stream, in order. */
export type ReceivedStream = {
	readonly streamId: string;
	readonly versions: readonly string[];
};

/** Number of streams that may be mixed by the users' rule. */
const MAXIMUM_MIXED_STREAMS = 2;
/** Number of take-ups from which their share counts. */
const MINIMUM_TAKE_UPS = 12;

/** Lists the streams with events of several software versions. */
export function listMixedStreams(streams: readonly ReceivedStream[]): readonly string[] {
	return streams.filter(({versions}) => new Set(versions).size > 1).map(({streamId, versions}) => `${streamId}: ${versions.join(' ')}`);
}

/** Lists violations of both rules. */
export function findStreamViolations(streams: readonly ReceivedStream[], attempts: readonly StreamAttempt[], isInTouch: (daemon: string, at: number) => boolean): readonly string[] {
	const mixed = listMixedStreams(streams);
	const counted = attempts.filter(attempt => isInTouch(attempt.daemon, attempt.sentAt));
	const shareOf = (chosen: readonly StreamAttempt[]): number => chosen.filter(attempt => attempt.hasEvents).length / Math.max(1, chosen.length);
	const takeUps = counted.filter(attempt => attempt.resumes !== undefined && attempt.isVersionServing);
	const begun = counted.filter(attempt => attempt.resumes === undefined);
	return [
		...(mixed.length > MAXIMUM_MIXED_STREAMS ? [`${mixed.length} streams hold events of several software versions, for example ${mixed[0]}`] : []),
		...(takeUps.length >= MINIMUM_TAKE_UPS && shareOf(takeUps) < shareOf(begun) / 2
			? [`${(100 * shareOf(takeUps)).toFixed(0)}% of ${takeUps.length} take-ups went on, and ${(100 * shareOf(begun)).toFixed(0)}% of ${begun.length} new streams began`]
			: []),
	];
}
