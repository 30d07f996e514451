/**
 * Estimates the load of backend servers. Reports lag, so dispatches that this daemon began after a report was taken are
 * added to it, and those that the report still counts but which have ended since are taken off.
 */
import type {LoadReport} from '../../adapters/common/engine.js';

/** The estimated load of one backend server. */
export type EstimatedLoad = {
	/** Requests that run or wait there. */
	readonly requests: number;
	/**
	 * Requests there that one may count on for a choice between servers: this daemon's own in full, those of others less
	 * and less as their report ages, for most will have ended.
	 */
	readonly likely: number;
	/** Requests that run at once without waiting. */
	readonly slots: number;
};

/** The loads of all known backend servers. */
export type LoadEstimate = {
	readonly report: (serverId: string, report: LoadReport, receivedAt: number) => void;
	/** Counts a dispatch; the returned function ends it. */
	readonly begin: (serverId: string, now: number) => (now: number) => void;
	readonly read: (serverId: string, now: number) => EstimatedLoad;
	/** This daemon's own dispatches under way. */
	readonly inFlight: (serverId: string) => number;
	readonly forget: (serverId: string) => void;
};

type Own = {
	readonly startedAt: number;
	readonly endedAt: number | undefined;
};

type Entry = {
	reported: LoadReport | undefined;
	reportedAt: number;
	own: readonly Own[];
	meanRunMs: number;
};

/** Ended dispatches are remembered at most this long for lack of a newer report. */
const REMEMBER_ENDED_MS = 10_000;
const INITIAL_RUN_MS = 1000;
/** Weight of the newest request in the running mean. */
const MEAN_GAIN = 0.05;

function correct(entry: Entry, reported: LoadReport): number {
	const begunSince = entry.own.filter(own => own.startedAt > entry.reportedAt && own.endedAt === undefined).length;
	const endedSince = entry.own.filter(own => own.startedAt <= entry.reportedAt && own.endedAt !== undefined && own.endedAt > entry.reportedAt).length;
	return reported.running + reported.queued + begunSince - endedSince;
}

/** Creates an estimate without any server. `slotsOf` gives the slots of a server that has not reported yet. */
export function createLoadEstimate(slotsOf: (serverId: string) => number): LoadEstimate {
	const entries = new Map<string, Entry>();

	function entryOf(serverId: string): Entry {
		const known = entries.get(serverId) ?? {
			reported: undefined, reportedAt: Number.NEGATIVE_INFINITY, own: [], meanRunMs: INITIAL_RUN_MS,
		};
		entries.set(serverId, known);
		return known;
	}

	function countInFlight(serverId: string): number {
		return entries.get(serverId)?.own.filter(own => own.endedAt === undefined).length ?? 0;
	}

	return {
		report(serverId, report, receivedAt) {
			const entry = entryOf(serverId);
			const takenAt = receivedAt - report.ageMs;
			if (takenAt < entry.reportedAt) {
				return;
			}

			entry.reported = report;
			entry.reportedAt = takenAt;
			entry.own = entry.own.filter(own => own.endedAt === undefined || own.endedAt > takenAt);
		},
		begin(serverId, now) {
			const entry = entryOf(serverId);
			const begun: Own = {startedAt: now, endedAt: undefined};
			entry.own = [...entry.own, begun];
			return endedAt => {
				entry.meanRunMs += MEAN_GAIN * (endedAt - now - entry.meanRunMs);
				entry.own = entry.own
					.map(own => own === begun ? {...begun, endedAt} : own)
					.filter(own => own.endedAt === undefined || own.endedAt > endedAt - REMEMBER_ENDED_MS);
			};
		},
		read(serverId, now) {
			const entry = entries.get(serverId);
			const own = countInFlight(serverId);
			if (entry?.reported === undefined) {
				return {requests: own, likely: own, slots: Math.max(1, slotsOf(serverId))};
			}

			const requests = Math.max(own, correct(entry, entry.reported));
			const stillRunning = Math.exp(-Math.max(0, now - entry.reportedAt) / entry.meanRunMs);
			return {requests, likely: own + (stillRunning * (requests - own)), slots: Math.max(1, entry.reported.slots)};
		},
		inFlight: countInFlight,
		forget(serverId) {
			entries.delete(serverId);
		},
	};
}
