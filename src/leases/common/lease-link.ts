/** The call between daemons that hands a lease over without a wait. */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import type {PeerAddress} from '../../peers/common/peers.js';

/** The sending side of hand-overs. */
export abstract class LeaseLink {
	/** Tells a daemon that a lease was released at a version and that it is the preferred successor. */
	abstract offer(peer: PeerAddress, shard: number, version: number): Promise<Result<void, Failure>>;
}
