/** Keeps the base versions of pools, and the versions of streams that began at another one, in the object API. */
import {err, ok, type Result} from 'neverthrow';
import type {ObjectApi} from '../../adapters/common/object-api.js';
import type {Clock} from '../../base/common/clock.js';
import {joinDisposables, type Disposable} from '../../base/common/disposable.js';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import {rankByRendezvous} from '../../base/common/hash.js';
import type {Log} from '../../kernel/common/log.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {Metrics} from '../../kernel/common/metrics.js';
import type {PeerMesh} from '../../peers/common/peer-mesh.js';
import type {ServerView} from '../common/server-view.js';
import {
	chooseBase, createSoftwareVersions, STREAM_RETENTION_MS, UNKNOWN_VERSION, type Resumption, type StreamOrigin,
} from '../common/stream-origin.js';
import {createKeptStreamRecords, readText, type StreamRecord} from './kept-stream-records.js';

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
	/**
	 * Keeps the record of a stream, by the id of the request that began it, until the returned function is called, and for `STREAM_RETENTION_MS` after.
	 * A response that was handed to the operating system may not have been read, so its caller may still continue the stream.
	 */
	readonly keep: (firstRequestId: string) => () => void;
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

/** Object kind of the base versions, which are named by their pools. */
const BASE_KIND = 'stream-bases';
const RETRY_AFTER_MS = 300;
/** Time for which a stream that is taken up waits for its record: longer than a store that was just lost takes over another daemon. */
const READ_TIMEOUT_MS = 900;
const CHECK_PERIOD_MS = 250;
/** After a stream could not be recorded, new streams begin at the base version for this long. */
const UNRECORDED_MS = 10_000;
/** Interval at which records are removed that daemons left behind when they ended. */
const CLEANUP_PERIOD_MS = 60_000;
/** Interval at which a write is repeated without which a stream of unknown version might be continued. */
const REPEAT_MS = 1000;

/** Creates the records of a daemon. */
export function createStreamRecords(dependencies: StreamRecordsDependencies): StreamRecords {
	const {
		api, view, resumablePools, mesh, clock, loop, log, metrics,
	} = dependencies;
	const versions = createSoftwareVersions();
	const baseByPool = new Map<string, string>();
	const settlingPools = new Set<string>();
	const records = createKeptStreamRecords(dependencies);
	/** Number of records that no running daemon keeps; undefined before the first look. */
	let abandoned: number | undefined;
	let unrecordedAt = Number.NEGATIVE_INFINITY;

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

	/** Repeats the write that nobody may continue a stream, for as long as a caller may ask. */
	async function writeUnknown(requestId: string, record: StreamRecord, since: number): Promise<void> {
		const isWritten = await records.write(requestId, record);
		metrics.count('stream.recorded', 1, {outcome: isWritten ? 'unknown' : 'failed'});
		if (!isWritten && clock.monotonic() - since < STREAM_RETENTION_MS) {
			loop.after(REPEAT_MS, () => {
				void writeUnknown(requestId, record, since);
			});
		}
	}

	/** Removes the records of ended daemons, which no daemon would remove otherwise. */
	async function cleanUp(now: number): Promise<void> {
		const hasSeveral = resumablePools().some(pool => versions.soleVersion(pool, now) === undefined);
		const isResponsible = rankByRendezvous('clean up streams', [mesh.self, ...mesh.others()], daemon => daemon.name)[0]?.name === mesh.self.name;
		if (!isResponsible || resumablePools().length === 0 || (abandoned === 0 && !hasSeveral)) {
			return;
		}

		abandoned = await records.removeAbandoned(now) ?? abandoned;
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
			const known = records.find(requestId);
			const isKnown = known === undefined ? baseByPool.get(pool) === softwareVersion : known.isStored && known.pool === pool && known.softwareVersion === softwareVersion;
			if (isKnown) {
				return ok();
			}

			const isWritten = await records.write(requestId, {pool, softwareVersion});
			metrics.count('stream.recorded', 1, {outcome: isWritten ? 'written' : 'failed'});
			if (isWritten) {
				return ok();
			}

			unrecordedAt = clock.monotonic();
			return err(createNotRun('unavailable', {step: 'record stream', peer: requestId}, 'the software version of the stream can not be recorded', RETRY_AFTER_MS));
		},
		async recordUnknown(requestId, pool) {
			await writeUnknown(requestId, {pool, softwareVersion: UNKNOWN_VERSION}, clock.monotonic());
		},
		keep: records.keep,
		async findOrigin({firstRequestId}, pools) {
			// What other daemons recorded since is in the store only, except what this one could not write yet.
			const known = firstRequestId === undefined ? undefined : records.find(firstRequestId);
			if (known?.softwareVersion === UNKNOWN_VERSION) {
				return ok({kind: 'version', pool: known.pool, softwareVersion: UNKNOWN_VERSION});
			}

			const origin = {step: 'find software version of stream', peer: firstRequestId ?? 'request without an id'};
			if (firstRequestId === undefined) {
				return err(createNotRun('unavailable', origin, 'the caller does not state which request began the stream'));
			}

			// The view of this daemon may be old: it may have stood still, or its feed source may. Only the store tells which versions began streams meanwhile.
			const [found, ...areConfirmed] = await Promise.all([
				Promise.race([records.adopt(firstRequestId), loop.sleep(READ_TIMEOUT_MS).then(() => undefined)]),
				...pools.map(async pool => Promise.race([settleBase(pool), loop.sleep(READ_TIMEOUT_MS).then(() => false)])),
			]);
			if (found === undefined) {
				return err(createNotRun('unavailable', origin, 'the software version of the stream is not known: the store does not respond in time', RETRY_AFTER_MS));
			}

			return found.andThen<StreamOrigin, Failure>(record => {
				if (record !== undefined) {
					return ok({kind: 'version', ...record});
				}

				return areConfirmed.includes(false) || !pools.some(pool => baseByPool.has(pool))
					? err(createNotRun('unavailable', origin, 'the base version of the pool is not known, or not confirmed by the store', RETRY_AFTER_MS))
					: ok({kind: 'base'});
			});
		},
		dispose: tasks.dispose,
	};
}
