/**
 * The stored form of the configuration: the lists and the latest accepted changes in one object. A change and its audit
 * entry are one conditional write, so an accepted change is in the audit trail even if its daemon crashes right afterwards.
 */
import {z} from 'zod';
import type {AuditEntry} from '../../audit/common/audit.js';
import {storedEntrySchema} from '../../audit/common/audit-service.js';
import type {ObjectId} from '../../adapters/common/store.js';
import {emptyLists, storedListsSchema, type Lists} from './lists.js';

const storedValueSchema = z.looseObject({
	lists: storedListsSchema,
	changes: z.array(storedEntrySchema).readonly(),
});

/** The name of the configuration object. */
export const configurationId: ObjectId = {kind: 'config', name: 'lists'};

/** A parsed configuration object, with the data that the next write needs. */
export type StoredConfiguration = {
	/** Version of the object; 0 before the first write. */
	readonly version: number;
	/** The object's value, byte for byte. */
	readonly value: string;
	readonly lists: Lists;
	/** The latest accepted changes, oldest first; the last one made this version. */
	readonly changes: readonly AuditEntry[];
	/** Fields that are unknown to this release; the next write keeps them. */
	readonly unknown: Readonly<Record<string, unknown>>;
};

/** The configuration before the first write. */
export const emptyConfiguration: StoredConfiguration = {
	version: 0, value: '', lists: emptyLists, changes: [], unknown: {},
};

/** Parses a stored value; undefined when it is not a valid configuration. */
export function parseConfiguration(version: number, value: string): StoredConfiguration | undefined {
	try {
		const {lists, changes, ...unknown} = storedValueSchema.parse(JSON.parse(value));
		const last = changes.length - 1;
		return {
			version,
			value,
			lists,
			changes: changes.map((change, index) => (index === last ? {...change, toVersion: version} : change)),
			unknown,
		};
	} catch {
		return undefined;
	}
}

/** Renders the value of the next version. */
export function renderConfiguration(previous: StoredConfiguration, lists: Lists, changes: readonly AuditEntry[]): string {
	return JSON.stringify({...previous.unknown, lists, changes});
}
