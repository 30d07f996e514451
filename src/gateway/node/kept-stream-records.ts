/**
 * The stored records of the versions at which streams began. Each record names the daemon that keeps it: the one at which the stream began, or the
 * last one at which its caller continued it. That daemon removes the record once no caller may continue the stream any more.
 */
import {err, ok, type Result} from 'neverthrow';
import type {ApiObjectId, ObjectApi} from '../../adapters/common/object-api.js';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import {hashToHex} from '../../base/common/hash.js';
import type {Log} from '../../kernel/common/log.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {PeerDaemon, PeerMesh} from '../../peers/common/peer-mesh.js';
import {STREAM_RETENTION_MS} from '../common/stream-origin.js';

/** Where a stream began. */
export type StreamRecord = {
	readonly pool: string;
	readonly softwareVersion: string;
};

/** A record that this daemon keeps. */
export type KeptRecord = StreamRecord & {
	/** Whether the store has confirmed the record; if not, it may have it, or get it later. */
	readonly isStored: boolean;
};

/** The records that one daemon keeps. */
export type KeptStreamRecords = {
	readonly find: (requestId: string) => KeptRecord | undefined;
	/** Writes a record; false when it is not stored in time. */
	readonly write: (requestId: string, record: StreamRecord) => Promise<boolean>;
	/** Reads a record and makes this daemon the one that keeps it; undefined when there is none. Fails with `notRun` when that can't be told. */
	readonly adopt: (requestId: string) => Promise<Result<StreamRecord | undefined, Failure>>;
	/** Keeps a record, whether it exists yet or not, until the returned function is called, and for `STREAM_RETENTION_MS` after. */
	readonly keep: (requestId: string) => () => void;
	/** Removes the records that no running daemon keeps, some time after they were first found. Resolves with the number of those that are left; undefined if the store does not answer. */
	readonly removeAbandoned: (now: number) => Promise<number | undefined>;
};

/** Dependencies of the records. */
export type KeptStreamRecordsDependencies = {
	readonly api: Pick<ObjectApi, 'create' | 'list' | 'read' | 'remove' | 'replace'>;
	readonly mesh: Pick<PeerMesh, 'others' | 'self'>;
	readonly loop: Loop;
	readonly log: Log;
};

/** Object kind of the records, which are named by the hash of their request's id. */
const STREAM_KIND = 'streams';
const RETRY_AFTER_MS = 300;
/** Time for which a stream waits to be recorded; the store answers in a few milliseconds. */
const RECORD_TIMEOUT_MS = 250;
/** How often a record that another daemon changes at the same time is read again. */
const MAXIMUM_ADOPTIONS = 3;

/** Use of a record at this daemon; a new object with each change. */
type RecordUse = {
	/** Number of open responses of its stream. */
	readonly open: number;
};

/** Names one run of a daemon. */
function describeKeeper({name, incarnation}: Pick<PeerDaemon, 'name' | 'incarnation'>): string {
	return `${name} ${incarnation}`;
}

/** Reads a text from a stored object; undefined if it has none of that name. */
export function readText(spec: unknown, field: string): string | undefined {
	const value: unknown = typeof spec === 'object' && spec !== null ? Reflect.get(spec, field) : undefined;
	return typeof value === 'string' ? value : undefined;
}

function readRecord(spec: unknown): StreamRecord | undefined {
	const pool = readText(spec, 'pool');
	const softwareVersion = readText(spec, 'softwareVersion');
	return pool === undefined || softwareVersion === undefined ? undefined : {pool, softwareVersion};
}

/** Creates the records of a daemon that keeps none. */
export function createKeptStreamRecords({api, mesh, loop, log}: KeptStreamRecordsDependencies): KeptStreamRecords {
	const ownKeeper = describeKeeper(mesh.self);
	const recordByRequest = new Map<string, KeptRecord>();
	const useByRequest = new Map<string, RecordUse>();
	/** Records without a running keeper, with the monotonic time at which they were first found. */
	const abandonedSince = new Map<string, number>();

	const idOf = (requestId: string): ApiObjectId => ({kind: STREAM_KIND, name: hashToHex(requestId).slice(0, 32)});
	const isKeptHere = (spec: unknown): boolean => readText(spec, 'keeper') === ownKeeper;

	function setRecord(requestId: string, record: KeptRecord): void {
		recordByRequest.set(requestId, record);
		if (!useByRequest.has(requestId)) {
			// The response ended while the record was under way.
			useByRequest.set(requestId, {open: 0});
			scheduleRemoval(requestId);
		}
	}

	function scheduleRemoval(requestId: string): void {
		const use = useByRequest.get(requestId);
		loop.after(STREAM_RETENTION_MS, () => {
			if (useByRequest.get(requestId) === use && use?.open === 0) {
				void remove(requestId);
			}
		});
	}

	/** Removes a record, unless another daemon has continued the stream and keeps it, or the stream is used here again. */
	async function remove(requestId: string): Promise<void> {
		const use = useByRequest.get(requestId);
		const found = await api.read(idOf(requestId));
		if (useByRequest.get(requestId) !== use) {
			return;
		}

		const removed = found.isOk() && isKeptHere(found.value?.spec) ? await api.remove(idOf(requestId)) : found;
		if (removed.isErr()) {
			log.debug('record of a stream is not removed', {requestId, reason: removed.error.message});
			scheduleRemoval(requestId);
		} else if (useByRequest.get(requestId) === use) {
			useByRequest.delete(requestId);
			recordByRequest.delete(requestId);
		}
	}

	async function store(requestId: string, {pool, softwareVersion}: StreamRecord): Promise<boolean> {
		const id = idOf(requestId);
		const spec = {pool, softwareVersion, keeper: ownKeeper};
		const created = await api.create(id, spec);
		if (created.isOk()) {
			return true;
		}

		const found = await api.read(id);
		const stored = found.unwrapOr(undefined);
		const known = readRecord(stored?.spec);
		const isStored = known?.softwareVersion === softwareVersion && known.pool === pool && isKeptHere(stored?.spec);
		if (isStored || stored === undefined) {
			return isStored;
		}

		const replaced = await api.replace(id, spec, stored.revision);
		return replaced.isOk();
	}

	async function adopt(requestId: string, adoptionsLeft = MAXIMUM_ADOPTIONS): Promise<Result<StreamRecord | undefined, Failure>> {
		const origin = {step: 'read record of stream', peer: requestId};
		const refuse = (reason: string): Result<never, Failure> => err(createNotRun('unavailable', origin, `the software version of the stream is not known: ${reason}`, RETRY_AFTER_MS));
		const found = await api.read(idOf(requestId));
		if (found.isErr()) {
			return refuse(found.error.message);
		}

		if (found.value === undefined) {
			return ok(undefined);
		}

		const record = readRecord(found.value.spec);
		if (record === undefined) {
			return refuse('its record can not be read');
		}

		if (!isKeptHere(found.value.spec)) {
			const adopted = await api.replace(idOf(requestId), {...record, keeper: ownKeeper}, found.value.revision);
			if (adopted.isErr()) {
				return adopted.error.code === 'conflict' && adoptionsLeft > 1 ? adopt(requestId, adoptionsLeft - 1) : refuse(adopted.error.message);
			}
		}

		setRecord(requestId, {...record, isStored: true});
		return ok(record);
	}

	return {
		find: requestId => recordByRequest.get(requestId),
		async write(requestId, record) {
			// A write that is given up may be done later, so the record is removed in any case.
			setRecord(requestId, {...record, isStored: false});
			const isStored = await Promise.race([store(requestId, record), loop.sleep(RECORD_TIMEOUT_MS).then(() => false)]);
			if (isStored) {
				setRecord(requestId, {...record, isStored});
			}

			return isStored;
		},
		adopt: async requestId => adopt(requestId),
		keep(requestId) {
			const changeOpen = (change: number): void => {
				useByRequest.set(requestId, {open: (useByRequest.get(requestId)?.open ?? 0) + change});
			};

			changeOpen(1);
			let isReleased = false;
			return () => {
				if (isReleased) {
					return;
				}

				isReleased = true;
				changeOpen(-1);
				if (recordByRequest.has(requestId)) {
					scheduleRemoval(requestId);
				} else if (useByRequest.get(requestId)?.open === 0) {
					useByRequest.delete(requestId);
				}
			};
		},
		async removeAbandoned(now) {
			const listed = await api.list(STREAM_KIND);
			if (listed.isErr()) {
				return undefined;
			}

			const keepers = new Set([mesh.self, ...mesh.others()].map(daemon => describeKeeper(daemon)));
			const abandoned = new Set(listed.value.objects.filter(({spec}) => !keepers.has(readText(spec, 'keeper') ?? '')).map(({name}) => name));
			[...abandonedSince.keys()].filter(name => !abandoned.has(name)).forEach(name => {
				abandonedSince.delete(name);
			});
			abandoned.forEach(name => {
				abandonedSince.set(name, abandonedSince.get(name) ?? now);
			});
			await Promise.all([...abandonedSince].filter(([, since]) => now - since > 2 * STREAM_RETENTION_MS).map(async ([name]) => api.remove({kind: STREAM_KIND, name})));
			return abandonedSince.size;
		},
	};
}
