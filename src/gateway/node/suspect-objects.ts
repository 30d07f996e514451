/** Keeps the suspects of all daemons in the object API, so that they are known after all daemons were restarted. */
import {ok, type Result} from 'neverthrow';
import type {ApiObject, ObjectApi} from '../../adapters/common/object-api.js';
import type {Failure} from '../../base/common/failure.js';
import {hashToUint32} from '../../base/common/hash.js';
import type {Log} from '../../kernel/common/log.js';
import type {Loop} from '../../kernel/common/loop.js';
import {suspectRecord} from '../../requests/common/suspect-record.js';
import type {Crash} from '../../requests/common/suspect-table.js';

/** The stored suspects. */
export type SuspectObjects = {
	/** Stores crashes after a delay, and retries until they are stored. */
	readonly save: (crashes: readonly Crash[], delayMs: number) => void;
	/** Reads the crashes that all daemons have stored. */
	readonly readAll: () => Promise<Result<readonly Crash[], Failure>>;
};

/** Dependencies of the stored suspects. */
export type SuspectObjectsDependencies = {
	readonly api: Pick<ObjectApi, 'create' | 'list' | 'read' | 'replace'>;
	readonly loop: Loop;
	readonly log: Log;
};

/** Object kind of the suspects. */
export const SUSPECT_OBJECT_KIND = 'suspects';
/** Number of objects over which suspects are distributed. */
const OBJECT_COUNT = 16;
/** Maximum number of crashes in one object; the oldest are dropped first. */
const MAXIMUM_CRASHES_PER_OBJECT = 500;
const RETRY_MS = 1500;

function nameOf(fingerprint: string): string {
	return `shard-${String(hashToUint32(fingerprint) % OBJECT_COUNT).padStart(2, '0')}`;
}

/** Creates the access to the stored suspects. */
export function createSuspectObjects({api, loop, log}: SuspectObjectsDependencies): SuspectObjects {
	const pendingByName = new Map<string, ReadonlyMap<string, Crash>>();
	const writing = new Set<string>();

	function parse({name, spec}: ApiObject): readonly Crash[] {
		const parsed = suspectRecord.safeParse(spec);
		if (!parsed.success) {
			log.warn('object of suspects can not be read', {name, problem: parsed.error.message});
		}

		return parsed.data?.crashes ?? [];
	}

	/** Merges crashes by id; requests that were acquitted are removed. */
	function merge(stored: readonly Crash[], added: ReadonlyMap<string, Crash>): readonly Crash[] {
		return [...new Map([...stored.map(crash => [crash.crashId, crash] as const), ...added]).values()].filter(crash => !crash.acquitted).slice(-MAXIMUM_CRASHES_PER_OBJECT);
	}

	async function writeMerged(name: string, pending: ReadonlyMap<string, Crash>): Promise<Result<unknown, Failure>> {
		const id = {kind: SUSPECT_OBJECT_KIND, name};
		const found = await api.read(id);
		if (found.isErr()) {
			return found;
		}

		const stored = found.value === undefined ? [] : parse(found.value);
		const merged = merge(stored, pending);
		const isStored = merged.length === stored.length && merged.every((crash, index) => crash.crashId === stored[index]?.crashId);
		if (isStored) {
			return ok();
		}

		return found.value === undefined ? api.create(id, {crashes: merged}) : api.replace(id, {crashes: merged}, found.value.revision);
	}

	async function write(name: string): Promise<void> {
		const pending = pendingByName.get(name);
		if (pending === undefined || writing.has(name)) {
			return;
		}

		writing.add(name);
		const written = await writeMerged(name, pending);
		writing.delete(name);
		if (written.isErr()) {
			log.info('suspects are not stored yet', {name, reason: written.error.message});
			loop.after(RETRY_MS, () => {
				void write(name);
			});
			return;
		}

		const rest = [...pendingByName.get(name) ?? []].filter(([crashId, crash]) => pending.get(crashId) !== crash);
		if (rest.length === 0) {
			pendingByName.delete(name);
			return;
		}

		pendingByName.set(name, new Map(rest));
		await write(name);
	}

	return {
		save(crashes, delayMs) {
			[...new Set(crashes.map(crash => nameOf(crash.fingerprint)))].forEach(name => {
				const added = crashes.filter(crash => nameOf(crash.fingerprint) === name).map(crash => [crash.crashId, crash] as const);
				pendingByName.set(name, new Map([...pendingByName.get(name) ?? [], ...added].slice(-MAXIMUM_CRASHES_PER_OBJECT)));
				loop.after(delayMs, () => {
					void write(name);
				});
			});
		},
		async readAll() {
			const listed = await api.list(SUSPECT_OBJECT_KIND);
			return listed.map(({objects}) => objects.flatMap(parse));
		},
	};
}
