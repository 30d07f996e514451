/** The attempts that are open over this daemon's own links, by pool, so that silence of a whole pool is noticed. */

/** The open attempts of one daemon. */
export type OpenAttempts = {
	/** Records an attempt; `onCut` is called when the links to its pool are cut. */
	readonly begin: (pool: string, serverId: string, onCut: () => void, now: number) => OpenAttempt;
	/** Lists the pools with open attempts of which nothing has been heard for `silentMs`, with the servers of these attempts. */
	readonly listSilent: (silentMs: number, now: number) => ReadonlyArray<{readonly pool: string; readonly serverIds: readonly string[]}>;
	/** Tells all attempts at a pool that its links are cut. */
	readonly cut: (pool: string) => void;
};

/** One attempt. */
export type OpenAttempt = {
	/** Records data of the server. */
	readonly recordHeard: (now: number) => void;
	readonly end: () => void;
};

type Attempt = {
	readonly serverId: string;
	readonly onCut: () => void;
	readonly startedAt: number;
};

type PoolAttempts = {
	readonly open: Set<Attempt>;
	heardAt: number;
};

/** Creates the record without attempts. */
export function createOpenAttempts(): OpenAttempts {
	const attemptsByPool = new Map<string, PoolAttempts>();
	return {
		begin(pool, serverId, onCut, now) {
			const attempts = attemptsByPool.get(pool) ?? {open: new Set(), heardAt: Number.NEGATIVE_INFINITY};
			attemptsByPool.set(pool, attempts);
			const attempt = {serverId, onCut, startedAt: now};
			attempts.open.add(attempt);
			return {
				recordHeard(heardAt) {
					attempts.heardAt = heardAt;
				},
				end() {
					attempts.open.delete(attempt);
				},
			};
		},
		listSilent(silentMs, now) {
			return [...attemptsByPool]
				.filter(([, {open, heardAt}]) => now - heardAt >= silentMs && [...open].some(({startedAt}) => now - startedAt >= silentMs))
				.map(([pool, {open}]) => ({pool, serverIds: [...new Set([...open].map(({serverId}) => serverId))]}));
		},
		cut(pool) {
			[...attemptsByPool.get(pool)?.open ?? []].forEach(({onCut}) => {
				onCut();
			});
		},
	};
}
