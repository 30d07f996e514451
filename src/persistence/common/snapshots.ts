/** Local snapshots with which a daemon can start while the store is unavailable. A daemon without a data folder keeps none. */
import {createServiceKey} from '../../kernel/common/contribution.js';

/** Named texts that survive a restart of the daemon, and a crash during a write. */
export type Snapshots = {
	/** The last text completely written under a name; undefined if there is none or it is damaged. */
	readonly read: (name: string) => string | undefined;
	/** Replaces a text; a failure is logged and leaves the previous text in place. */
	readonly write: (name: string, text: string) => void;
};

/** Snapshots of a daemon without a data folder. */
export const noSnapshots: Snapshots = {
	read: () => undefined,
	write: () => undefined,
};

/** The daemon's snapshots. */
export const snapshotsKey = createServiceKey<Snapshots>('snapshots');
