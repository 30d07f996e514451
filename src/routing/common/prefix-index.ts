/** Remembers which backend server last computed a prompt prefix. The number of prefixes is bounded; the least recently used one is dropped first. */

/** Servers that probably have a prompt prefix cached. */
export type PrefixIndex = {
	readonly remember: (prefixKey: string, serverId: string) => void;
	readonly find: (prefixKey: string) => string | undefined;
	/** Forgets all prefixes of a server, because its cache is lost when it crashes or leaves. */
	readonly forgetServer: (serverId: string) => void;
};

/** Creates an empty index of at most `capacity` prefixes. */
export function createPrefixIndex(capacity: number): PrefixIndex {
	const serverByPrefix = new Map<string, string>();

	return {
		remember(prefixKey, serverId) {
			// Deleting the key first moves it to the end of the map's iteration order.
			serverByPrefix.delete(prefixKey);
			serverByPrefix.set(prefixKey, serverId);
			const [oldest] = serverByPrefix.keys();
			if (serverByPrefix.size > capacity && oldest !== undefined) {
				serverByPrefix.delete(oldest);
			}
		},
		find: prefixKey => serverByPrefix.get(prefixKey),
		forgetServer(serverId) {
			[...serverByPrefix].filter(([, holder]) => holder === serverId).forEach(([prefixKey]) => {
				serverByPrefix.delete(prefixKey);
			});
		},
	};
}
