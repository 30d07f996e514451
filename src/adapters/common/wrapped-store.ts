/** Runs all calls of a store through one wrapper function. */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import type {StoreCall} from './memory-store.js';
import {Store, type ObjectId} from './store.js';

/** Runs a call to the store: `action` makes the call, and the wrapper may run it later, several times or not at all. */
export type StoreWrapper = <T>(call: StoreCall, id: Partial<ObjectId>, action: () => Promise<Result<T, Failure>>) => Promise<Result<T, Failure>>;

/** Creates a view of a store whose calls run through `wrapper`; watches go to the store unless `watch` replaces them. */
export function wrapStore(inner: Store, wrapper: StoreWrapper, watch: Store['watch'] = (kind, listener) => inner.watch(kind, listener)): Store {
	return new (class extends Store {
		override read: Store['read'] = async id => wrapper('read', id, async () => inner.read(id));
		override write: Store['write'] = async write => wrapper('write', write, async () => inner.write(write));
		override remove: Store['remove'] = async removal => wrapper('remove', removal, async () => inner.remove(removal));
		override list: Store['list'] = async (kind, prefix) => wrapper('list', {kind}, async () => inner.list(kind, prefix));
		override watch: Store['watch'] = (kind, listener) => watch(kind, listener);
	})();
}
