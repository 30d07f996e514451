/** Puts one function around all calls of a store. */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import type {StoreCall} from './memory-store.js';
import {Store, type ObjectId} from './store.js';

/** Runs a call; `action` makes it, and may be made later, again or not at all. */
export type StoreWrapper = <T>(call: StoreCall, id: Partial<ObjectId>, action: () => Promise<Result<T, Failure>>) => Promise<Result<T, Failure>>;

/** Creates a view of a store whose calls run within `around`; watches pass unless `watch` replaces them. */
export function wrapStore(inner: Store, around: StoreWrapper, watch: Store['watch'] = (kind, listener) => inner.watch(kind, listener)): Store {
	return new (class extends Store {
		override read: Store['read'] = async id => around('read', id, async () => inner.read(id));
		override write: Store['write'] = async write => around('write', write, async () => inner.write(write));
		override remove: Store['remove'] = async removal => around('remove', removal, async () => inner.remove(removal));
		override list: Store['list'] = async (kind, prefix) => around('list', {kind}, async () => inner.list(kind, prefix));
		override watch: Store['watch'] = (kind, listener) => watch(kind, listener);
	})();
}
