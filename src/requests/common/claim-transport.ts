/** Transport of claims from a daemon to the owners of the keys. */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import type {ShardOwner} from '../../leases/common/shards.js';
import type {ClaimRequest, ClaimVerdict, Outcome} from './claims.js';

/** Calls an owner, which may be this daemon itself. Failure code `notOwner` means that the callee does not own the shard. */
export type ClaimTransport = {
	/** Fails with effect `outcomeUnknown` when the claim may have been granted. */
	readonly claim: (owner: ShardOwner, request: ClaimRequest, now: number) => Promise<Result<ClaimVerdict, Failure>>;
	readonly settle: (owner: ShardOwner, key: string, claimId: string, outcome: Outcome | undefined) => Promise<Result<void, Failure>>;
};
