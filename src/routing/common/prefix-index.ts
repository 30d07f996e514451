/** Remembers which backend server last computed a prompt prefix. Bounded: the prefix used longest ago is dropped first. */

/** Where prefixes are believed to be cached. */
export type PrefixIndex = {
	readonly remember: (prefixKey: string, serverId: string) => void;
	readonly find: (prefixKey: string) => string | undefined;
	/** Forgets all prefixes of a server, after it broke off or left. */
	readonly forgetServer: (serverId: string) => void;
};

/** Creates an empty index of at most `capacity` prefixes. */
export function createPrefixIndex(capacity: number): PrefixIndex {
	const servers = new Map<string, string>();

	return {
		remember(prefixKey, serverId) {
			// Removal first moves the key to the end of the map's order.
			servers.delete(prefixKey);
			servers.set(prefixKey, serverId);
			const [oldest] = servers.keys();
			if (servers.size > capacity && oldest !== undefined) {
				servers.delete(oldest);
			}
		},
		find: prefixKey => servers.get(prefixKey),
		forgetServer(serverId) {
			[...servers].filter(([, holder]) => holder === serverId).forEach(([prefixKey]) => {
				servers.delete(prefixKey);
			});
		},
	};
}
