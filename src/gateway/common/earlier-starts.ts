/**
 * Tells a server that started again after its clock had been set back, so that it states an earlier start time than before, from
 * delayed writes of an earlier run, whose entries look the same.
 */
import type {ServerEntry} from './server-view.js';

/** Entries with an earlier start time than the known entry of the same server. */
export type EarlierStarts = {
	/** Records the entry that the store holds; returns whether a running server goes on writing it. */
	readonly isLive: (entry: ServerEntry, now: number) => boolean;
	/** Forgets a server whose entry is not of an earlier start. */
	readonly forget: (serverId: string) => void;
};

/** Time for which an earlier start must be written again and again: three heartbeats of a server, longer than a write can be delayed. */
const CONFIRMATION_MS = 6000;

type Observation = {
	readonly startedAt: number | undefined;
	/** The newest write seen. */
	readonly sequence: number;
	/** Monotonic time at which the first write was seen. */
	readonly since: number;
};

/** Creates an empty record. */
export function createEarlierStarts(): EarlierStarts {
	const observationByServer = new Map<string, Observation>();
	return {
		isLive({id, startedAt, sequence}, now) {
			const known = observationByServer.get(id);
			if (sequence === undefined || known === undefined || known.startedAt !== startedAt || sequence < known.sequence) {
				observationByServer.set(id, {startedAt, sequence: sequence ?? 0, since: now});
				return false;
			}

			observationByServer.set(id, {...known, sequence});
			return sequence > known.sequence && now - known.since >= CONFIRMATION_MS;
		},
		forget(serverId) {
			observationByServer.delete(serverId);
		},
	};
}
