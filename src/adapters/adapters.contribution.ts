/** Registers the platform adapters, and provides the store, the VM list and the weight store that the settings select. */
import type {Context} from '../kernel/common/contribution.js';
import {registerContribution} from '../kernel/common/registry.js';
import {settingsKey} from '../settings/common/settings.js';
import {adaptersKey, createAdapters} from './common/adapters.js';
import {createMemoryStore} from './common/memory-store.js';
import {createRateLimitedStore} from './common/rate-limited-store.js';
import {storeKey} from './common/store.js';
import {vmListKey} from './common/vm-list.js';
import {weightStoreKey} from './common/weight-store.js';
import {createHttpEngine} from './node/http-engine.js';
import {createHttpScorer} from './node/http-scorer.js';
import {createHttpService} from './node/http-service.js';
import {createHttpStore} from './node/http-store.js';
import {createHttpVmList} from './node/http-vm-list.js';
import {createHttpWeightStore} from './node/http-weight-store.js';

function createPlatformAdapters(context: Context) {
	const adapters = createAdapters();
	adapters.stores.register('http', peer => createHttpStore(peer, context.loop, context.random));
	adapters.stores.register('memory', () => createMemoryStore().open());
	adapters.vmLists.register('http', createHttpVmList);
	adapters.weightStores.register('http', createHttpWeightStore);
	adapters.scorers.register('http', createHttpScorer);
	adapters.engines.register('http', createHttpEngine);
	adapters.services.register('http', createHttpService);
	return adapters;
}

registerContribution({
	id: 'platform',
	requires: [],
	start(context) {
		const settings = context.use(settingsKey);
		const adapters = createPlatformAdapters(context);
		context.provide(adaptersKey, adapters);
		context.provide(storeKey, createRateLimitedStore(adapters.stores.get(settings.store.kind)(settings.store), {...context, callsPerSecond: settings.store.callsPerSecond}));
		context.provide(vmListKey, adapters.vmLists.get(settings.vmList.kind)(settings.vmList));
		if (settings.weightStore) {
			context.provide(weightStoreKey, adapters.weightStores.get(settings.weightStore.kind)(settings.weightStore));
		}

		return {dispose: () => undefined};
	},
});
