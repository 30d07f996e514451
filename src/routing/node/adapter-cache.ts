/** Caches one adapter per backend server, created on first use and kept while the server is known. */
import type {Adapters} from '../../adapters/common/adapters.js';
import type {Engine} from '../../adapters/common/engine.js';
import type {Service} from '../../adapters/common/service.js';
import type {Pool} from '../../settings/common/settings.js';
import type {BackendServer} from '../common/router.js';

/** Adapters by server. */
export type AdapterCache = {
	readonly engine: (server: BackendServer) => Engine;
	readonly service: (server: BackendServer) => Service;
	readonly isEngine: (server: BackendServer) => boolean;
	readonly forget: (server: BackendServer) => void;
};

function getOrCreate<T>(adapters: Map<string, T>, key: string, create: () => T): T {
	const found = adapters.get(key) ?? create();
	adapters.set(key, found);
	return found;
}

/** Creates an empty cache. Throws when a server's pool is not in the settings. */
export function createAdapterCache(adapters: Adapters, pools: readonly Pool[]): AdapterCache {
	const engines = new Map<string, Engine>();
	const services = new Map<string, Service>();
	const keyOf = (server: BackendServer) => `${server.id} ${server.address}:${server.port}`;

	function poolOf(server: BackendServer): Pool {
		const pool = pools.find(candidate => candidate.name === server.pool);
		if (pool === undefined) {
			throw new Error(`pool ${server.pool} of backend server ${server.id} is not in the settings`);
		}

		return pool;
	}

	return {
		engine: server => getOrCreate(engines, keyOf(server), () => adapters.engines.get(poolOf(server).adapter)(server)),
		service: server => getOrCreate(services, keyOf(server), () => adapters.services.get(poolOf(server).adapter)(server)),
		isEngine: server => poolOf(server).kind === 'engine',
		forget(server) {
			engines.delete(keyOf(server));
			services.delete(keyOf(server));
		},
	};
}
