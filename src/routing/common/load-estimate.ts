/**
 * Estimates the load of backend servers. Load reports are delayed, so dispatches that this daemon began after a report was made are
 * added to it, and dispatches that the report includes but that have ended since are subtracted.
 */
import type {LoadReport} from '../../adapters/common/engine.js';
import {createWorkTimes} from './work-time.js';

/** The estimated load of one backend server. */
export type EstimatedLoad = {
	/** Number of requests that run or wait on the server. */
	readonly requests: number;
	/**
	 * Number of requests that are probably still on the server, used to choose between servers. This daemon's own requests count in
	 * full. Those of other daemons count less as the report gets older, because most of them will have ended.
	 */
	readonly likelyRequests: number;
	/** Number of requests that run concurrently without waiting. */
	readonly slots: number;
};

/** The loads of all known backend servers. */
export type LoadEstimate = {
	readonly report: (serverId: string, report: LoadReport, receivedAt: number) => void;
	/** Counts a dispatch; the returned function ends it. Times are monotonic milliseconds. */
	readonly beginDispatch: (serverId: string, now: number) => (now: number) => void;
	readonly read: (serverId: string, now: number) => EstimatedLoad;
	/** The expected time of work on the server's machine in multiples of the usual time; 1 if the server does not state it. */
	readonly workTime: (serverId: string, now: number) => number;
	/** Number of this daemon's own dispatches in progress. */
	readonly inFlight: (serverId: string) => number;
	readonly forget: (serverId: string) => void;
};

type OwnDispatch = {
	readonly startedAt: number;
	readonly endedAt: number | undefined;
};

type ServerRecord = {
	reported: LoadReport | undefined;
	reportedAt: number;
	ownDispatches: readonly OwnDispatch[];
	meanRunMs: number;
};

/** Ended dispatches are kept for at most this long if no newer report arrives. */
const ENDED_DISPATCH_TTL_MS = 10_000;
const INITIAL_MEAN_RUN_MS = 1000;
/** Weight of the newest request in the exponential moving average of run times. */
const MEAN_SMOOTHING_FACTOR = 0.05;

function countRequests(record: ServerRecord, reported: LoadReport): number {
	const begunSince = record.ownDispatches.filter(own => own.startedAt > record.reportedAt && own.endedAt === undefined).length;
	const endedSince = record.ownDispatches.filter(own => own.startedAt <= record.reportedAt && own.endedAt !== undefined && own.endedAt > record.reportedAt).length;
	return reported.running + reported.queued + begunSince - endedSince;
}

/** Creates an estimate without any servers. `slotsOf` returns the slots of a server that has not reported yet. */
export function createLoadEstimate(slotsOf: (serverId: string) => number): LoadEstimate {
	const recordByServer = new Map<string, ServerRecord>();
	const workTimes = createWorkTimes();

	function recordOf(serverId: string): ServerRecord {
		const known = recordByServer.get(serverId) ?? {
			reported: undefined, reportedAt: Number.NEGATIVE_INFINITY, ownDispatches: [], meanRunMs: INITIAL_MEAN_RUN_MS,
		};
		recordByServer.set(serverId, known);
		return known;
	}

	function countInFlight(serverId: string): number {
		return recordByServer.get(serverId)?.ownDispatches.filter(own => own.endedAt === undefined).length ?? 0;
	}

	return {
		report(serverId, report, receivedAt) {
			const record = recordOf(serverId);
			const takenAt = receivedAt - report.ageMs;
			if (takenAt < record.reportedAt) {
				return;
			}

			workTimes.report(serverId, report.workTimePercent, takenAt);
			record.reported = report;
			record.reportedAt = takenAt;
			record.ownDispatches = record.ownDispatches.filter(own => own.endedAt === undefined || own.endedAt > takenAt);
		},
		beginDispatch(serverId, now) {
			const record = recordOf(serverId);
			const begun: OwnDispatch = {startedAt: now, endedAt: undefined};
			record.ownDispatches = [...record.ownDispatches, begun];
			return endedAt => {
				record.meanRunMs += MEAN_SMOOTHING_FACTOR * (endedAt - now - record.meanRunMs);
				record.ownDispatches = record.ownDispatches
					.map(own => own === begun ? {...begun, endedAt} : own)
					.filter(own => own.endedAt === undefined || own.endedAt > endedAt - ENDED_DISPATCH_TTL_MS);
			};
		},
		read(serverId, now) {
			const record = recordByServer.get(serverId);
			const own = countInFlight(serverId);
			if (record?.reported === undefined) {
				return {requests: own, likelyRequests: own, slots: Math.max(1, slotsOf(serverId))};
			}

			const requests = Math.max(own, countRequests(record, record.reported));
			const runningShare = Math.exp(-Math.max(0, now - record.reportedAt) / record.meanRunMs);
			return {requests, likelyRequests: own + (runningShare * (requests - own)), slots: Math.max(1, record.reported.slots)};
		},
		workTime: workTimes.read,
		inFlight: countInFlight,
		forget(serverId) {
			workTimes.forget(serverId);
			recordByServer.delete(serverId);
		},
	};
}
