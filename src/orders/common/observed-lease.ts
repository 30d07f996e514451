/** What one daemon knows of the stored lease: from reads of the store, and from what the holder says of its renewals. */
import type {ApiObject} from '../../adapters/common/object-api.js';
import {isSameRun, type PeerDaemon} from '../../peers/common/peer-mesh.js';
import {canTake, readLapseMs, type LeaseTimes} from './lease-policy.js';
import {readLeaseRecord, type LeaseRecord} from './lease-record.js';

/** The lease as it was last seen. */
export type LeaseObservation = {
	readonly revision: number;
	/** Undefined if the stored lease can not be decoded. */
	readonly record: LeaseRecord | undefined;
	/** Latest monotonic time at which the renewal with this revision can have been sent. */
	readonly renewedBy: number;
	/** Whether the record is not from the store but from the holder, which does not state all of it. */
	readonly isStated: boolean;
};

/** A renewal as its holder describes it. */
export type StatedRenewal = {
	readonly revision: number;
	readonly lapseMs: number;
	readonly renewedBy: number;
};

/** The knowledge of one daemon. */
export type ObservedLease = {
	/** Undefined until a lease was seen. */
	readonly current: () => LeaseObservation | undefined;
	/** Whether this run of this daemon is the stored holder. */
	readonly isOwn: () => boolean;
	/** Records the stored lease. */
	readonly recordObject: (object: ApiObject, now: number) => void;
	/** Records what the holder says, so that the lease need not be read to know how old its last renewal is. */
	readonly recordStatement: (holder: PeerDaemon, renewal: StatedRenewal) => void;
	/** Whether the lease may be taken. `isOwnFree`: a lease that is stored as this daemon's own may be taken again at once. */
	readonly mayTake: (now: number, isOwnFree: boolean) => boolean;
};

/** Creates the knowledge of a daemon that has not seen a lease. */
export function createObservedLease(self: PeerDaemon, times: LeaseTimes): ObservedLease {
	let observation: LeaseObservation | undefined;
	const isOwn = (): boolean => isSameRun(observation?.record?.holder, self);
	return {
		current: () => observation,
		isOwn,
		recordObject(object, now) {
			const isKnown = observation?.revision === object.revision;
			if (!isKnown || observation?.isStated === true) {
				observation = {
					revision: object.revision, record: readLeaseRecord(object), renewedBy: isKnown ? Math.min(now, observation!.renewedBy) : now, isStated: false,
				};
			}
		},
		recordStatement(holder, {revision, lapseMs, renewedBy}) {
			if (observation === undefined) {
				observation = {
					revision, record: {holder, renewals: 0, lapseMs}, renewedBy, isStated: true,
				};
			} else if (observation.record !== undefined && isSameRun(observation.record.holder, holder) && revision >= observation.revision) {
				observation = {
					...observation, revision, record: {...observation.record, lapseMs}, renewedBy: revision === observation.revision ? Math.min(renewedBy, observation.renewedBy) : renewedBy,
				};
			}
		},
		mayTake(now, isOwnFree) {
			if (observation === undefined) {
				return true;
			}

			const {record, renewedBy} = observation;
			const isReleased = record !== undefined && (record.holder === undefined || (isOwnFree && isOwn()));
			return canTake({renewedBy, lapseMs: readLapseMs(record?.lapseMs, times), isReleased}, now);
		},
	};
}
