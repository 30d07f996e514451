/** The calls between daemons that hand a lease over without a wait. */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import type {PeerAddress} from '../../peers/common/peers.js';

/** The sending side of hand-overs. */
export abstract class LeaseLink {
	/** Asks a daemon whether it reaches the store and would take a lease. */
	abstract prepare(peer: PeerAddress, shard: number): Promise<Result<boolean, Failure>>;

	/** Tells a daemon that a lease was released at a version and that it is the preferred successor. */
	abstract offer(peer: PeerAddress, shard: number, version: number): Promise<Result<void, Failure>>;
}
