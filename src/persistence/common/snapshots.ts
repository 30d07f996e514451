/** Local copies that let a daemon start while the store is down. A daemon without a data folder keeps none. */
import {createServiceKey} from '../../kernel/common/contribution.js';

/** Named texts that survive a restart, and a crash in the middle of a write. */
export type Snapshots = {
	/** The last whole text written under a name; undefined when there is none or it is damaged. */
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
