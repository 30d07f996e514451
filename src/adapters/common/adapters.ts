/** The adapters that a daemon can use, by the `kind` values of its settings. A new back end registers one adapter. */
import {createServiceKey} from '../../kernel/common/contribution.js';
import type {EngineFactory} from './engine.js';
import type {Scorer} from './scorer.js';
import type {ServiceFactory} from './service.js';
import type {Store} from './store.js';
import type {VmList} from './vm-list.js';
import type {WeightStore} from './weight-store.js';

/** A platform service as the settings describe it. */
export type RemotePeer = {
	readonly url: string;
	readonly timeoutMs: number;
};

/** Factories of one type of adapter, by `kind`. */
export type AdapterTable<T> = {
	readonly register: (kind: string, create: T) => void;
	/** Throws when no adapter of the kind is registered. */
	readonly get: (kind: string) => T;
};

/** All adapter tables of a daemon. */
export type Adapters = {
	readonly stores: AdapterTable<(peer: RemotePeer) => Store>;
	readonly vmLists: AdapterTable<(peer: RemotePeer) => VmList>;
	readonly weightStores: AdapterTable<(peer: RemotePeer) => WeightStore>;
	readonly scorers: AdapterTable<(peer: RemotePeer) => Scorer>;
	readonly engines: AdapterTable<EngineFactory>;
	readonly services: AdapterTable<ServiceFactory>;
};

function createAdapterTable<T>(subject: string): AdapterTable<T> {
	const createByKind = new Map<string, T>();
	return {
		register(kind, create) {
			createByKind.set(kind, create);
		},
		get(kind) {
			const create = createByKind.get(kind);
			if (create === undefined) {
				throw new Error(`no ${subject} adapter of kind "${kind}"; known kinds: ${[...createByKind.keys()].join(', ')}`);
			}

			return create;
		},
	};
}

/** Creates empty adapter tables. */
export function createAdapters(): Adapters {
	return {
		stores: createAdapterTable('store'),
		vmLists: createAdapterTable('VM list'),
		weightStores: createAdapterTable('weight store'),
		scorers: createAdapterTable('scoring'),
		engines: createAdapterTable('engine'),
		services: createAdapterTable('service'),
	};
}

/** The daemon's adapter tables. */
export const adaptersKey = createServiceKey<Adapters>('adapters');
