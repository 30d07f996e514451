/** Keeps the counts of windows in one object of the store, which is replaced conditionally. */
import type {ObjectApi} from '../../adapters/common/object-api.js';
import type {Log} from '../../kernel/common/log.js';
import type {UsageReport} from '../common/duties-api.js';
import {addWindows, decodeUsageRecord, type UsageRecord} from '../common/usage-record.js';

/** The stored counts as the holder of the duties knows them. */
export type UsageStore = {
	/** The object as it was last read or written; undefined when that is not known. */
	readonly known: () => UsageRecord | undefined;
	/** Reads the object, and creates it if there is none: then windows up to `newest` are never reported. */
	readonly load: (newest: number) => Promise<void>;
	/** Adds windows and removes those that are done. After a failure or an unknown outcome the object must be loaded again. */
	readonly add: (collected: readonly UsageReport[], done: ReadonlySet<number>) => Promise<void>;
	/** Forgets the object, because another daemon may change it from now on. */
	readonly forget: () => void;
};

const RECORD_ID = {kind: 'usage-reports', name: 'recent'};

/** Creates the store. */
export function createUsageStore(api: ObjectApi, log: Log): UsageStore {
	let known: {readonly revision: number; readonly record: UsageRecord} | undefined;

	function keep(object: {readonly revision: number; readonly spec: unknown}): void {
		const record = decodeUsageRecord(object.spec);
		known = record === undefined ? undefined : {revision: object.revision, record};
		if (record === undefined) {
			log.warn('stored usage can not be decoded; no usage is reported', {revision: object.revision});
		}
	}

	async function write(next: UsageRecord, revision: number | undefined): Promise<void> {
		known = undefined;
		const written = revision === undefined
			? await api.create(RECORD_ID, next)
			: await api.replace(RECORD_ID, next, revision);
		written.match(object => {
			known = {revision: object.revision, record: next};
		}, failure => {
			log.info('usage not stored', {
				newest: next.newest, code: failure.code, effect: failure.effect, reason: failure.message,
			});
		});
	}

	return {
		known: () => known?.record,
		async load(newest) {
			known = undefined;
			const found = await api.read(RECORD_ID);
			if (found.isErr()) {
				log.info('stored usage not read', {code: found.error.code, reason: found.error.message});
				return;
			}

			if (found.value === undefined) {
				const first: UsageRecord = {newest, windows: []};
				await write(first, undefined);
				return;
			}

			keep(found.value);
		},
		async add(collected, done) {
			if (known !== undefined) {
				await write(addWindows(known.record, collected, done), known.revision);
			}
		},
		forget() {
			known = undefined;
		},
	};
}
