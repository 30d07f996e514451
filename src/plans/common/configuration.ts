/** The configuration in force on one daemon. Its version never goes back. */
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
	/** The version that the operator had read. */
	readonly ifVersion: number;
	readonly lists: Lists;
};

/** The configuration of the fleet as this daemon has it. */
export type Configuration = {
	readonly current: () => VersionedLists;
	readonly onDidChange: Event<VersionedLists>;
	/** Finds the plan that an API key belongs to. */
	readonly authenticate: (apiKey: string) => Plan | undefined;
	readonly grant: (plan: string, pool: string) => Grant | undefined;
	/** Writes a change; `conflict` when another operator was faster, with the newer version in force afterwards. */
	readonly propose: (proposal: Proposal) => Promise<Result<VersionedLists, Failure>>;
};

/** The daemon's configuration. */
export const configurationKey = createServiceKey<Configuration>('configuration');
