/** The configuration in force on one daemon. Its version never decreases. */
import type {Result} from 'neverthrow';
import type {Event} from '../../base/common/event.js';
import type {Failure} from '../../base/common/failure.js';
import {createServiceKey} from '../../kernel/common/contribution.js';
import type {
	Grant, Lists, Plan, VersionedLists,
} from './lists.js';

/** An operator's change to the lists. */
export type Proposal = {
	/** Name of the operator, for the audit trail. */
	readonly operator: string;
	/** The version that the operator has read and changed. */
	readonly ifVersion: number;
	readonly lists: Lists;
};

/** The configuration of the fleet as known to this daemon. */
export type Configuration = {
	readonly current: () => VersionedLists;
	readonly onDidChange: Event<VersionedLists>;
	/** Finds the plan that an API key belongs to. */
	readonly authenticate: (apiKey: string) => Plan | undefined;
	/** Finds the grant of a plan on a pool. */
	readonly grant: (plan: string, pool: string) => Grant | undefined;
	/** Writes a change. Code `conflict` when another change came first; the newer version is then in force on this daemon. */
	readonly propose: (proposal: Proposal) => Promise<Result<VersionedLists, Failure>>;
};

/** Service key of the daemon's configuration. */
export const configurationKey = createServiceKey<Configuration>('configuration');
