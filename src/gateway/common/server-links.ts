/**
 * Decides whether this daemon's links to the servers of a pool are cut, from its own attempts to connect. Connections that were open before
 * may live on while new ones fail, so only new connections count.
 */
import {createEmitter, type Event} from '../../base/common/event.js';

/** The links of one daemon. */
export type ServerLinks = {
	/** Records that a new connection to a server of the pool was established. */
	readonly recordConnected: (pool: string, now: number) => void;
	/** Records that a new connection to a server was refused, or was not established in time. */
	readonly recordFailed: (pool: string, serverId: string, now: number) => void;
	/** Forgets what was seen of a pool, because it has servers that were not tried yet. */
	readonly forget: (pool: string) => void;
	/** Whether no server of the pool can be connected to, as far as is known. */
	readonly isCut: (pool: string) => boolean;
	/** Whether a route can be served over the own links: those to at least one of its pools are not cut. */
	readonly reachesRoute: (pools: ReadonlyArray<{readonly pool: string}>) => boolean;
	/** The pools whose links are cut. */
	readonly listCut: () => readonly string[];
	/** Whether a connection that failed may have failed because of the links, and not because of its server. */
	readonly isDoubtful: (pool: string, now: number) => boolean;
	readonly onDidChange: Event<LinkChange>;
};

/** The links to a pool were cut, or can be used again. */
export type LinkChange = {
	readonly pool: string;
	readonly isCut: boolean;
};

type PoolLinks = {
	readonly failedAtByServer: Map<string, number>;
	connectedAt: number;
	isCut: boolean;
};

/** Number of servers that must have failed; all of them in a smaller pool. */
const FAILED_SERVERS = 2;
/** Failures within this time of each other may have one cause. */
const FAILURE_WINDOW_MS = 10_000;
/** For this long after a connection was established, the links count as sound. */
const SOUND_MS = 500;

/** Creates links of which nothing is known yet. `countServers` returns the number of servers of a pool. */
export function createServerLinks(countServers: (pool: string) => number): ServerLinks {
	const linksByPool = new Map<string, PoolLinks>();
	const changes = createEmitter<LinkChange>();

	function linksOf(pool: string): PoolLinks {
		const known = linksByPool.get(pool) ?? {failedAtByServer: new Map<string, number>(), connectedAt: Number.NEGATIVE_INFINITY, isCut: false};
		linksByPool.set(pool, known);
		return known;
	}

	function setCut(pool: string, links: PoolLinks, isCut: boolean): void {
		if (links.isCut !== isCut) {
			links.isCut = isCut;
			changes.fire({pool, isCut});
		}
	}

	function reset(pool: string): PoolLinks {
		const links = linksOf(pool);
		links.failedAtByServer.clear();
		setCut(pool, links, false);
		return links;
	}

	return {
		recordConnected(pool, now) {
			reset(pool).connectedAt = now;
		},
		recordFailed(pool, serverId, now) {
			const links = linksOf(pool);
			links.failedAtByServer.set(serverId, now);
			[...links.failedAtByServer].filter(([, at]) => now - at > FAILURE_WINDOW_MS).forEach(([id]) => {
				links.failedAtByServer.delete(id);
			});
			if (links.failedAtByServer.size >= Math.max(1, Math.min(FAILED_SERVERS, countServers(pool)))) {
				setCut(pool, links, true);
			}
		},
		forget(pool) {
			reset(pool);
		},
		isCut: pool => linksByPool.get(pool)?.isCut ?? false,
		reachesRoute: pools => pools.length === 0 || pools.some(({pool}) => linksByPool.get(pool)?.isCut !== true),
		listCut: () => [...linksByPool].filter(([, {isCut}]) => isCut).map(([pool]) => pool),
		isDoubtful: (pool, now) => now - linksOf(pool).connectedAt >= SOUND_MS,
		onDidChange: changes.event,
	};
}
