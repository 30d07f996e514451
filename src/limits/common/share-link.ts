/** The way from a daemon to the owners of shares. */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import type {ShardOwner} from '../../leases/common/shards.js';
import type {ShareAnswer} from './share-holder.js';
import type {Renewal} from './share-ledger.js';

/** Calls to one owner, which may be this daemon itself. Code `notOwner` tells that it does not own the shard. */
export type ShareLink = {
	readonly renew: (owner: ShardOwner, renewal: Renewal) => Promise<Result<ShareAnswer, Failure>>;
};
