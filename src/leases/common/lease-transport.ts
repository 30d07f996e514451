/** Calls between daemons that hand a lease over without waiting for its expiry. */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import type {PeerAddress} from '../../peers/common/peers.js';

/** Sends the calls of hand-overs. */
export abstract class LeaseTransport {
	/** Asks a daemon whether it can reach the store and would take a lease. */
	abstract prepare(peer: PeerAddress, shard: number): Promise<Result<boolean, Failure>>;

	/** Notifies the preferred successor that a lease was released; `version` is that of the released lease object. */
	abstract offer(peer: PeerAddress, shard: number, version: number): Promise<Result<void, Failure>>;
}
