/** The audit trail: who changed what, from which version to which, and every order given to an engine. */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import {createServiceKey} from '../../kernel/common/contribution.js';

/** One entry of the audit trail. */
export type AuditEntry = {
	/** Unique over the fleet. */
	readonly id: string;
	/** Milliseconds since the Unix epoch, by the clock of the daemon that recorded it. */
	readonly at: number;
	/** An operator's name, or the daemon's id. */
	readonly actor: string;
	readonly action: 'change-configuration' | 'order-engine' | 'refuse-request' | 'take-shard' | 'drain';
	/** What was acted on. */
	readonly subject: string;
	readonly fromVersion: number | undefined;
	readonly toVersion: number | undefined;
	readonly fencing: number | undefined;
	readonly detail: string;
};

/** Selects entries. */
export type AuditQuery = {
	/** Entries recorded at or after this wall time. */
	readonly since: number;
	readonly limit: number;
};

/** The audit trail. */
export type Audit = {
	/** Queues an entry; entries are written to the store in batches. */
	readonly record: (entry: Omit<AuditEntry, 'id' | 'at'>) => void;
	/** Queues entries that were created elsewhere. An entry that was queued or written twice is read once. */
	readonly queueCopies: (entries: readonly AuditEntry[]) => void;
	/** Adds a source of entries that are stored outside the trail's own objects and included in reads. */
	readonly addSource: (source: () => readonly AuditEntry[]) => void;
	/** Writes the queued entries without waiting for the next period. */
	readonly flush: () => Promise<Result<void, Failure>>;
	readonly read: (query: AuditQuery) => Promise<Result<readonly AuditEntry[], Failure>>;
};

/** The daemon's audit trail. */
export const auditKey = createServiceKey<Audit>('audit');
