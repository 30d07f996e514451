/**
 * Where a stream began: the software version that its continuations must have, because the output of two versions does not fit together.
 *
 * Each pool has a base version. A stream that begins at another version is recorded before its first event is forwarded, so a stream
 * without a record began at the base version. While one version serves, nothing is recorded.
 */
import type {ServerEntry} from './server-view.js';

/** A caller's wish to continue a stream that broke off in an earlier request. */
export type Resumption = {
	/** Id of the request that brought the stream's first event; undefined when the caller does not state it. */
	readonly firstRequestId: string | undefined;
};

/** The servers at which a stream may go on. */
export type StreamOrigin
	/** The base version of each pool. */
	= | {readonly kind: 'base'}
		| {readonly kind: 'version'; readonly pool: string; readonly softwareVersion: string};

/** Software versions of the servers of one daemon's view. */
export type SoftwareVersions = {
	/** Applies the entries of all servers. */
	readonly update: (entries: readonly ServerEntry[], now: number) => void;
	/** Versions of the pool's servers that do not leave, with the number of their servers, most first. */
	readonly listServing: (pool: string) => ReadonlyArray<{readonly softwareVersion: string; readonly servers: number}>;
	/** The only version that has been seen in the pool for `STREAM_RETENTION_MS`; undefined when there were several, or when the pool has been watched for less long. */
	readonly soleVersion: (pool: string, now: number) => string | undefined;
	/** Whether a version has had no server in the pool for `STREAM_RETENTION_MS`. */
	readonly isGone: (pool: string, softwareVersion: string, now: number) => boolean;
};

/** Stands for the version of a stream that can't be told. No server has it, so the stream goes on nowhere. */
export const UNKNOWN_VERSION = '';

/** Time after which a stream that broke off is not continued any more; longer than any caller waits. */
export const STREAM_RETENTION_MS = 60_000;

type PoolHistory = {
	readonly watchedSince: number;
	readonly seenAtByVersion: Map<string, number>;
};

/** Creates the record of versions of a daemon that has seen no server. */
export function createSoftwareVersions(): SoftwareVersions {
	const historyByPool = new Map<string, PoolHistory>();
	let current: readonly ServerEntry[] = [];

	return {
		update(entries, now) {
			current = entries;
			entries.forEach(({pool, softwareVersion}) => {
				const history = historyByPool.get(pool) ?? {watchedSince: now, seenAtByVersion: new Map<string, number>()};
				historyByPool.set(pool, history);
				if (softwareVersion !== undefined) {
					history.seenAtByVersion.set(softwareVersion, now);
				}
			});
		},
		listServing(pool) {
			const versions = current.filter(entry => entry.pool === pool && !entry.isLeaving).flatMap(entry => entry.softwareVersion ?? []);
			return [...new Set(versions)]
				.map(softwareVersion => ({softwareVersion, servers: versions.filter(version => version === softwareVersion).length}))
				.toSorted((a, b) => b.servers - a.servers || (a.softwareVersion < b.softwareVersion ? -1 : 1));
		},
		soleVersion(pool, now) {
			const history = historyByPool.get(pool);
			if (history === undefined || now - history.watchedSince < STREAM_RETENTION_MS) {
				return undefined;
			}

			const recent = [...history.seenAtByVersion].filter(([, seenAt]) => now - seenAt < STREAM_RETENTION_MS).map(([version]) => version);
			return recent.length === 1 ? recent[0] : undefined;
		},
		isGone(pool, softwareVersion, now) {
			const history = historyByPool.get(pool);
			return history !== undefined && now - Math.max(history.watchedSince, history.seenAtByVersion.get(softwareVersion) ?? 0) >= STREAM_RETENTION_MS;
		},
	};
}

/** Whether a stream may go on at a server. `baseOf` returns the base version of a pool, if it is known. */
export function allowsServer(origin: StreamOrigin, entry: Pick<ServerEntry, 'pool' | 'softwareVersion'>, baseOf: (pool: string) => string | undefined): boolean {
	return origin.kind === 'base'
		? entry.softwareVersion !== undefined && entry.softwareVersion === baseOf(entry.pool)
		: entry.pool === origin.pool && entry.softwareVersion === origin.softwareVersion;
}

/** Chooses the base version of a pool that has none, or whose base version has been gone for so long that no stream of it goes on; undefined keeps the present one. */
export function chooseBase(pool: string, base: string | undefined, versions: SoftwareVersions, now: number): string | undefined {
	return base === undefined || versions.isGone(pool, base, now) ? versions.listServing(pool)[0]?.softwareVersion : undefined;
}
