/** Decides whether one run of a backend server has crashed, from its entries and from its port. */
import type {PortView} from './port-view.js';
import type {ServerEntry} from './server-view.js';

/** One run of a server, from a start until its process ends. */
export type ServerRun = {
	readonly serverId: string;
	/** Unix time in milliseconds at which the run started; undefined when the server does not report it. */
	readonly startedAt: number | undefined;
};

/** An attempt at a run of a server. */
export type RunAttempt = ServerRun & {
	/** Monotonic time at which the attempt began. */
	readonly begunAt: number;
};

/** What is known of a run whose connection broke. */
export type RunEvidence = {
	/** The last known entry of the server, also when it has been removed since. */
	readonly last: ServerEntry | undefined;
	/** Whether the server was listed when its connection broke, or when a request without a response was sent. One that was removed before has ended as planned. */
	readonly wasListed: boolean;
	/** The server's entry now. */
	readonly current: ServerEntry | undefined;
	/** Whether the attempt may have run on the start after the one known when it began. */
	readonly mayBeOfNextStart: boolean;
	/** Whether another server is listed at the address now. */
	readonly isAddressTaken: boolean;
	/** The server's port after the request had ended, or after its entry had disappeared, as several daemons see it. */
	readonly port: PortView;
};

/** Returns a key that differs between the runs of a server. */
export function keyOfRun({serverId, startedAt}: ServerRun): string {
	return `${serverId}@${startedAt ?? ''}`;
}

/**
 * Whether the run has certainly crashed. A server that was leaving may have ended as planned, and a broken connection alone may be
 * a fault of the network. An entry also disappears when a server leaves without notice, and then the server still serves for a while.
 */
export function hasRunCrashed({startedAt}: ServerRun, {last, wasListed, current, mayBeOfNextStart, isAddressTaken, port}: RunEvidence): boolean {
	// Only start times of the same server are compared, as its clock may differ from this daemon's.
	const hasStartedAgain = !mayBeOfNextStart && [last, current].some(entry => entry?.startedAt !== undefined && startedAt !== undefined && entry.startedAt > startedAt);
	const wasLeaving = !wasListed || last === undefined || last.isLeaving;
	const hasEnded = port === 'closed' || (port === 'silent' && current === undefined);
	return hasStartedAgain || (!wasLeaving && (hasEnded || isAddressTaken));
}
