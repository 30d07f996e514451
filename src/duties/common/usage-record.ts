/**
 * The stored counts of windows that are not reported yet. Only counts that are stored are sent, and a window is added at most once, so
 * that every call for a window carries the same counts, whichever daemon sends it and however late it is carried out.
 */
import {z} from 'zod';
import {createDecoder} from '../../peers/common/decode-call.js';
import type {UsageReport} from './duties-api.js';

/** The stored object. */
export type UsageRecord = {
	/** The newest window that was ever added; windows up to it are never added again. */
	readonly newest: number;
	/** Windows that are not known to be reported, oldest first. */
	readonly windows: readonly UsageReport[];
};

/** Counts by organisation, as other daemons send and store them. */
export const organisationCountsSchema = z.record(z.string(), z.number().int().nonnegative());

/** Decodes the stored object. */
export const decodeUsageRecord = createDecoder<UsageRecord>(z.object({
	newest: z.number().int(),
	windows: z.array(z.object({windowId: z.number().int(), counts: organisationCountsSchema})),
}));

/** Maximum number of windows that are kept for the duties API to come back: two minutes at the usual length. */
export const MAXIMUM_WINDOWS = 24;
/** Time after the end of a window at which it is collected: the delay of a call and of a loop that is held up, in milliseconds. */
const SETTLE_MS = 1500;
/** Share of the time until the report is due for which daemons that did not answer are asked again. */
const COLLECT_SHARE = 0.6;
/** A window without an answer of the duties API is given up after this many times the time until it is due. */
const GIVE_UP_FACTOR = 3;

const FIRST_RETRY_MS = 500;
const MAXIMUM_RETRY_MS = 4000;

/** Length of a window, and the time after its end at which its report is due, in milliseconds. */
export type WindowTimes = {
	readonly windowMs: number;
	readonly reportDueMs: number;
};

/** Lists the windows to collect at a Unix time: those that have ended and are not added, no more than are kept. */
export function listDueWindows(newest: number, unixMs: number, {windowMs}: WindowTimes): readonly number[] {
	const last = Math.floor((unixMs - SETTLE_MS) / windowMs) - 1;
	const first = Math.max(newest + 1, last - MAXIMUM_WINDOWS + 1);
	return Array.from({length: Math.max(0, last - first + 1)}, (_, index) => first + index);
}

/** Unix time until which the daemons are asked for a window. */
export function collectUntil(windowId: number, {windowMs, reportDueMs}: WindowTimes): number {
	return ((windowId + 1) * windowMs) + (COLLECT_SHARE * reportDueMs);
}

/** Time until a window is sent again, after a number of calls without success; calls cost money also while the API does not answer. */
export function computeRetryMs(calls: number): number {
	return Math.min(FIRST_RETRY_MS * (2 ** (calls - 1)), MAXIMUM_RETRY_MS);
}

/** Whether a window is too old for another call. One call is made however old it is. */
export function isGivenUp(windowId: number, calls: number, unixMs: number, {windowMs, reportDueMs}: WindowTimes): boolean {
	return calls > 0 && unixMs > ((windowId + 1) * windowMs) + (GIVE_UP_FACTOR * reportDueMs);
}

/** Adds collected windows, and removes those that are done. Windows up to the newest stay as they are. */
export function addWindows<T extends UsageRecord>(record: T, collected: readonly UsageReport[], done: ReadonlySet<number>): T {
	const added = collected.filter(({windowId}) => windowId > record.newest).toSorted((a, b) => a.windowId - b.windowId);
	return {
		// Fields of later builds stay.
		...record,
		newest: added.at(-1)?.windowId ?? record.newest,
		windows: [...record.windows.filter(({windowId}) => !done.has(windowId)), ...added].slice(-MAXIMUM_WINDOWS),
	};
}
