/** Calls from a daemon to the owners of shares. */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import type {ShardOwner} from '../../leases/common/shards.js';
import type {RenewalResponse} from './share-holder.js';
import type {Renewal} from './share-ledger.js';

/** Sends renewals to an owner, which may be this daemon itself. Code `notOwner` means that it doesn't own the shard. */
export type ShareTransport = {
	readonly renew: (owner: ShardOwner, renewal: Renewal) => Promise<Result<RenewalResponse, Failure>>;
};
