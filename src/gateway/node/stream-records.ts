/** Keeps the base versions of pools, and the versions of streams that began at another one, in the object API. */
import {err, ok, type Result} from 'neverthrow';
import type {ObjectApi} from '../../adapters/common/object-api.js';
import type {Clock} from '../../base/common/clock.js';
import {joinDisposables, type Disposable} from '../../base/common/disposable.js';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import {hashToHex, rankByRendezvous} from '../../base/common/hash.js';
import type {Log} from '../../kernel/common/log.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {Metrics} from '../../kernel/common/metrics.js';
import type {PeerMesh} from '../../peers/common/peer-mesh.js';
import type {ServerView} from '../common/server-view.js';
import {
	chooseBase, createSoftwareVersions, STREAM_RETENTION_MS, UNKNOWN_VERSION, type Resumption, type StreamOrigin,
} from '../common/stream-origin.js';

/** The versions at which streams began, as one daemon knows them. */
export type StreamRecords = Disposable & {
	/** The base version of a pool; undefined while it is not known. */
	readonly baseOf: (pool: string) => string | undefined;
	/** Whether new streams should begin at the base version, because others can't be recorded at present. */
	readonly prefersBase: (pool: string, now: number) => boolean;
	/** Records that a stream begins at a server, before it is sent there; fails with `notRun` when its version might be taken for another one later. */
	readonly recordBegin: (requestId: string, pool: string, softwareVersion: string) => Promise<Result<void, Failure>>;
	/** Records that the version at which a stream began can't be told, so that nobody continues it. */
	readonly recordUnknown: (requestId: string, pool: string) => Promise<void>;
	/** Records that a stream is complete, so that nobody continues it. */
	readonly recordComplete: (requestId: string) => void;
	/** Whether a server of the software version serves in the pool. */
	readonly isServing: (pool: string, softwareVersion: string) => boolean;
	/** Finds the servers at which a stream may be continued; fails with `notRun` when they can't be told. */
	readonly findOrigin: (resumption: Resumption, pools: readonly string[]) => Promise<Result<StreamOrigin, Failure>>;
};

/** Dependencies of the records. */
export type StreamRecordsDependencies = {
	readonly api: Pick<ObjectApi, 'create' | 'list' | 'read' | 'remove' | 'replace'>;
	readonly view: Pick<ServerView, 'all' | 'onDidChange'>;
	/** Pools of routes whose streams callers may continue. */
	readonly resumablePools: () => readonly string[];
	readonly mesh: Pick<PeerMesh, 'others' | 'self'>;
	readonly clock: Clock;
	readonly loop: Loop;
	readonly log: Log;
	readonly metrics: Metrics;
};

/** Object kinds of the base versions, by pool, and of the streams, by the hash of their request's id. */
const BASE_KIND = 'stream-bases';
const STREAM_KIND = 'streams';
const RETRY_AFTER_MS = 300;
/** Time for which a stream waits to be recorded; the store answers in a few milliseconds. */
const RECORD_TIMEOUT_MS = 250;
/** Time for which a stream that is taken up waits for its record: longer than a store that was just lost takes over another daemon. */
const READ_TIMEOUT_MS = 900;
const CHECK_PERIOD_MS = 250;
/** After a stream could not be recorded, new streams begin at the base version for this long. */
const UNRECORDED_MS = 10_000;
/** Interval at which records are removed that daemons left behind when they ended. */
const CLEANUP_PERIOD_MS = 60_000;

type StreamRecord = {
	readonly pool: string;
	readonly softwareVersion: string;
};

function readText(spec: unknown, field: string): string | undefined {
	const value: unknown = typeof spec === 'object' && spec !== null ? Reflect.get(spec, field) : undefined;
	return typeof value === 'string' ? value : undefined;
}

function readRecord(spec: unknown): StreamRecord | undefined {
	const pool = readText(spec, 'pool');
	const softwareVersion = readText(spec, 'softwareVersion');
	return pool === undefined || softwareVersion === undefined ? undefined : {pool, softwareVersion};
}

/** Creates the records of a daemon. */
export function createStreamRecords(dependencies: StreamRecordsDependencies): StreamRecords {
	const {
		api, view, resumablePools, mesh, clock, loop, log, metrics,
	} = dependencies;
	const versions = createSoftwareVersions();
	const baseByPool = new Map<string, string>();
	const settlingPools = new Set<string>();
	const recordByRequest = new Map<string, StreamRecord>();
	const leftBehind = new Map<string, number>();
	let hasCleanedUp = false;
	let unrecordedAt = Number.NEGATIVE_INFINITY;

	const nameOf = (requestId: string): string => hashToHex(requestId).slice(0, 32);

	function isServing(pool: string, softwareVersion: string): boolean {
		return versions.listServing(pool).some(version => version.softwareVersion === softwareVersion);
	}

	function setBase(pool: string, base: string): void {
		if (baseByPool.get(pool) !== base) {
			log.info('base version of streams', {pool, base, before: baseByPool.get(pool)});
			baseByPool.set(pool, base);
		}
	}

	/** Reads the base version of a pool, and writes it if there is none or if it is gone. Resolves with whether the store has confirmed it. */
	async function settleBase(pool: string): Promise<boolean> {
		const id = {kind: BASE_KIND, name: pool};
		const found = await api.read(id);
		if (found.isErr()) {
			return false;
		}

		const stored = readText(found.value?.spec, 'base');
		const next = chooseBase(pool, stored, versions, clock.monotonic());
		if (next === undefined || next === stored) {
			if (stored !== undefined) {
				setBase(pool, stored);
			}

			return true;
		}

		const written = found.value === undefined ? await api.create(id, {base: next}) : await api.replace(id, {base: next}, found.value.revision);
		if (written.isOk()) {
			setBase(pool, next);
		}

		return written.isOk();
	}

	async function settleBaseOnce(pool: string): Promise<void> {
		if (settlingPools.has(pool)) {
			return;
		}

		settlingPools.add(pool);
		await settleBase(pool);
		settlingPools.delete(pool);
	}

	function check(now: number): void {
		versions.update(view.all(), now);
		resumablePools()
			.filter(pool => chooseBase(pool, baseByPool.get(pool), versions, now) !== undefined)
			.forEach(pool => {
				void settleBaseOnce(pool);
			});
	}

	async function write(requestId: string, record: StreamRecord): Promise<boolean> {
		const id = {kind: STREAM_KIND, name: nameOf(requestId)};
		const created = await api.create(id, record);
		if (created.isOk()) {
			return true;
		}

		const found = await api.read(id);
		const stored = found.unwrapOr(undefined);
		const isStored = readText(stored?.spec, 'softwareVersion') === record.softwareVersion && readText(stored?.spec, 'pool') === record.pool;
		if (isStored || stored === undefined) {
			return isStored;
		}

		const replaced = await api.replace(id, record, stored.revision);
		return replaced.isOk();
	}

	/** Writes a record, and removes it when its stream is not continued any more; false when it is not stored in time. */
	async function writeInTime(requestId: string, record: StreamRecord): Promise<boolean> {
		recordByRequest.set(requestId, record);
		loop.after(STREAM_RETENTION_MS, () => {
			remove(requestId);
		});
		return Promise.race([write(requestId, record), loop.sleep(RECORD_TIMEOUT_MS).then(() => false)]);
	}

	function remove(requestId: string): void {
		if (recordByRequest.delete(requestId)) {
			void api.remove({kind: STREAM_KIND, name: nameOf(requestId)}).then(removed => {
				if (removed.isErr()) {
					log.debug('record of a stream is not removed', {requestId, reason: removed.error.message});
				}
			});
		}
	}

	/** Removes the records of ended daemons, which no daemon would remove otherwise. */
	async function cleanUp(now: number): Promise<void> {
		const hasSeveral = resumablePools().some(pool => versions.soleVersion(pool, now) === undefined);
		const isResponsible = rankByRendezvous('clean up streams', [mesh.self, ...mesh.others()], daemon => daemon.name)[0]?.name === mesh.self.name;
		if (!isResponsible || resumablePools().length === 0 || (hasCleanedUp && !hasSeveral && leftBehind.size === 0)) {
			return;
		}

		const listed = await api.list(STREAM_KIND);
		if (listed.isErr()) {
			return;
		}

		hasCleanedUp = true;
		const names = new Set(listed.value.objects.map(object => object.name));
		[...leftBehind.keys()].filter(name => !names.has(name)).forEach(name => {
			leftBehind.delete(name);
		});
		names.forEach(name => {
			leftBehind.set(name, leftBehind.get(name) ?? now);
		});
		await Promise.all([...leftBehind].filter(([, since]) => now - since > 2 * STREAM_RETENTION_MS).map(async ([name]) => api.remove({kind: STREAM_KIND, name})));
	}

	async function readOrigin(requestId: string): Promise<Result<StreamOrigin, Failure>> {
		const origin = {step: 'read record of stream', peer: requestId};
		const found = await api.read({kind: STREAM_KIND, name: nameOf(requestId)});
		return found
			.mapErr(failure => createNotRun('unavailable', origin, `the software version of the stream is not known: ${failure.message}`, RETRY_AFTER_MS))
			.andThen<StreamOrigin, Failure>(object => {
				const record = readRecord(object?.spec);
				return object !== undefined && record === undefined
					? err(createNotRun('unavailable', origin, 'the record of the stream can not be read', RETRY_AFTER_MS))
					: ok(record === undefined ? {kind: 'base'} : {kind: 'version', ...record});
			});
	}

	view.onDidChange(() => {
		check(clock.monotonic());
	});
	const tasks = joinDisposables([
		loop.every({name: 'base versions of streams', periodMs: CHECK_PERIOD_MS, run: check}),
		loop.every({
			name: 'clean up streams', periodMs: CLEANUP_PERIOD_MS, jitterShare: 0.2, run: cleanUp,
		}),
	]);
	return {
		baseOf: pool => baseByPool.get(pool) ?? versions.soleVersion(pool, clock.monotonic()),
		isServing,
		prefersBase(pool, now) {
			const base = baseByPool.get(pool);
			return now - unrecordedAt < UNRECORDED_MS && base !== undefined && isServing(pool, base);
		},
		async recordBegin(requestId, pool, softwareVersion) {
			const known = recordByRequest.get(requestId);
			const isKnown = known === undefined ? baseByPool.get(pool) === softwareVersion : known.pool === pool && known.softwareVersion === softwareVersion;
			if (isKnown) {
				return ok();
			}

			const isWritten = await writeInTime(requestId, {pool, softwareVersion});
			metrics.count('stream.recorded', 1, {outcome: isWritten ? 'written' : 'failed'});
			if (isWritten) {
				return ok();
			}

			unrecordedAt = clock.monotonic();
			return err(createNotRun('unavailable', {step: 'record stream', peer: requestId}, 'the software version of the stream can not be recorded', RETRY_AFTER_MS));
		},
		async recordUnknown(requestId, pool) {
			const isWritten = await writeInTime(requestId, {pool, softwareVersion: UNKNOWN_VERSION});
			metrics.count('stream.recorded', 1, {outcome: isWritten ? 'unknown' : 'failed'});
		},
		recordComplete: remove,
		async findOrigin({firstRequestId}, pools) {
			const known = firstRequestId === undefined ? undefined : recordByRequest.get(firstRequestId);
			if (known !== undefined) {
				return ok({kind: 'version', ...known});
			}

			const origin = {step: 'find software version of stream', peer: firstRequestId ?? 'request without an id'};
			if (firstRequestId === undefined) {
				return err(createNotRun('unavailable', origin, 'the caller does not state which request began the stream'));
			}

			// The view of this daemon may be old: it may have stood still, or its feed source may. Only the store tells which versions began streams meanwhile.
			const [found, ...areConfirmed] = await Promise.all([
				Promise.race([readOrigin(firstRequestId), loop.sleep(READ_TIMEOUT_MS).then(() => undefined)]),
				...pools.map(async pool => Promise.race([settleBase(pool), loop.sleep(READ_TIMEOUT_MS).then(() => false)])),
			]);
			if (found === undefined) {
				return err(createNotRun('unavailable', origin, 'the software version of the stream is not known: the store does not respond in time', RETRY_AFTER_MS));
			}

			return found.andThen<StreamOrigin, Failure>(streamOrigin => (streamOrigin.kind === 'base' && (areConfirmed.includes(false) || !pools.some(pool => baseByPool.has(pool)))
				? err(createNotRun('unavailable', origin, 'the base version of the pool is not known, or not confirmed by the store', RETRY_AFTER_MS))
				: ok(streamOrigin)));
		},
		dispose: tasks.dispose,
	};
}
