/** Writes operators' changes to the store, and determines whether a change took effect, had no effect or has an unknown outcome. */
import {err, ok, type Result} from 'neverthrow';
import type {Audit, AuditEntry} from '../../audit/common/audit.js';
import type {Clock} from '../../base/common/clock.js';
import {
	createNotRun, createOutcomeUnknown, wrapFailure, type Failure,
} from '../../base/common/failure.js';
import {writeSettled} from '../../adapters/common/settled-write.js';
import type {Store} from '../../adapters/common/store.js';
import {checkLists} from './check-lists.js';
import type {Proposal} from './configuration.js';
import type {ConfigurationHolder} from './configuration-holder.js';
import type {Lists, VersionedLists} from './lists.js';
import {configurationId, renderConfiguration} from './stored-configuration.js';

/** Dependencies of proposals. */
export type ProposalOptions = {
	readonly writer: string;
	readonly holder: ConfigurationHolder;
	readonly store: Store;
	readonly audit: Audit;
	readonly clock: Clock;
	/** Reads the stored object and offers it to the holder. */
	readonly refresh: () => Promise<Result<void, Failure>>;
	/** Applies a version that this daemon has written. */
	readonly apply: (version: number, value: string) => void;
};

/** Maximum number of changes in the configuration object. At this number the oldest ones are copied to the objects of the audit trail and removed. */
const MAXIMUM_STORED_CHANGES = 64;

/** Number of changes that stay in the configuration object after a trim. */
const CHANGES_KEPT_BY_TRIM = 32;

const origin = {step: 'change configuration', peer: 'store'};

/** Creates the function that proposes a change. */
export function createPropose(options: ProposalOptions): (proposal: Proposal) => Promise<Result<VersionedLists, Failure>> {
	const {holder, store, audit, clock} = options;
	let lastChange = 0;

	function createChange(proposal: Proposal): AuditEntry {
		lastChange += 1;
		return {
			id: `${options.writer}.change.${lastChange}`,
			at: clock.wall(),
			actor: proposal.operator,
			action: 'change-configuration',
			subject: 'lists',
			fromVersion: proposal.ifVersion,
			toVersion: undefined,
			fencing: undefined,
			detail: `${proposal.lists.plans.length} plans, ${proposal.lists.grants.length} grants`,
		};
	}

	function createConflict(proposal: Proposal): Failure {
		return createNotRun('conflict', origin, `version ${holder.current().version} is in force, not ${proposal.ifVersion}`);
	}

	/** Removes the oldest changes from a full list, but only after they are durable in the audit trail. */
	async function trimChanges(changes: readonly AuditEntry[]): Promise<readonly AuditEntry[]> {
		if (changes.length < MAXIMUM_STORED_CHANGES) {
			return changes;
		}

		audit.queueCopies(changes.slice(0, -CHANGES_KEPT_BY_TRIM));
		const flushed = await audit.flush();
		return flushed.isOk() ? changes.slice(-CHANGES_KEPT_BY_TRIM) : changes;
	}

	/** Determines after a conflict whether the change was accepted and then replaced by a later one. */
	async function resolveConflict(proposal: Proposal, change: AuditEntry, lists: Lists, isKnownNotRun: boolean): Promise<Result<VersionedLists, Failure>> {
		const refreshed = await options.refresh();
		const {changes} = holder.current();
		const accepted = changes.find(candidate => candidate.id === change.id);
		if (accepted?.toVersion !== undefined) {
			return ok({version: accepted.toVersion, lists});
		}

		const hasOtherChange = changes.some(candidate => candidate.fromVersion === proposal.ifVersion);
		if (isKnownNotRun || (refreshed.isOk() && hasOtherChange)) {
			return err(createConflict(proposal));
		}

		return err(createOutcomeUnknown('conflict', origin, 'a later change was accepted, and it is unknown whether this change was accepted before it'));
	}

	async function writeChange(proposal: Proposal, lists: Lists): Promise<Result<VersionedLists, Failure>> {
		const previous = holder.current();
		const change = createChange({...proposal, lists});
		const kept = await trimChanges(previous.changes);
		const value = renderConfiguration(previous, lists, [...kept, change]);
		const written = await writeSettled(store, {
			...configurationId, value, ifVersion: proposal.ifVersion, writeId: {writer: options.writer, sequence: change.id},
		});
		if (written.isOk()) {
			options.apply(written.value.version, value);
			audit.queueCopies([{...change, toVersion: written.value.version}]);
			return ok({version: written.value.version, lists});
		}

		const isKnownNotRun = written.error.effect === 'notRun';
		return written.error.code === 'conflict'
			? resolveConflict(proposal, change, lists, isKnownNotRun)
			: err(wrapFailure(written.error, origin));
	}

	return async proposal => {
		const checked = checkLists(proposal.lists);
		if (checked.isErr()) {
			return err(checked.error);
		}

		if (proposal.ifVersion > holder.current().version) {
			const refreshed = await options.refresh();
			if (refreshed.isErr()) {
				return err(createNotRun(refreshed.error.code, origin, refreshed.error.message, refreshed.error.retryAfterMs));
			}
		}

		return proposal.ifVersion === holder.current().version
			? writeChange(proposal, checked.value)
			: err(createConflict(proposal));
	};
}
