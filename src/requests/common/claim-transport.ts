/** The way from a daemon to the owners of claims. */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import type {ShardOwner} from '../../leases/common/shards.js';
import type {ClaimRequest, ClaimVerdict, Outcome} from './claims.js';

/** Calls to one owner, which may be this daemon itself. Code `notOwner` tells that it does not own the shard. */
export type ClaimTransport = {
	/** Fails with effect `outcomeUnknown` when the claim may have been granted. */
	readonly claim: (owner: ShardOwner, request: ClaimRequest, now: number) => Promise<Result<ClaimVerdict, Failure>>;
	readonly settle: (owner: ShardOwner, key: string, claimId: string, outcome: Outcome | undefined) => Promise<Result<void, Failure>>;
};
