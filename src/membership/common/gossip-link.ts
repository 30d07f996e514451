/** The calls between daemons that gossip needs. */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import type {PeerAddress} from '../../peers/common/peers.js';
import type {BucketPage, GossipMessage} from './gossip.js';

/** The receiving side of gossip. */
export type GossipReceiver = {
	/** Takes a message and returns the answer; a failure refuses a sender whose protocol is too old. */
	readonly exchange: (message: GossipMessage) => Result<GossipMessage, Failure>;
	/** Contacts a peer on behalf of another daemon. */
	readonly probe: (peer: PeerAddress) => Promise<boolean>;
	readonly pull: (bucket: number, page: number) => BucketPage;
};

/** The sending side of gossip. Every call ends within its timeout. */
export abstract class GossipLink {
	abstract exchange(peer: PeerAddress, message: GossipMessage): Promise<Result<GossipMessage, Failure>>;

	/** Asks `helper` whether it reaches `peer`. */
	abstract probe(helper: PeerAddress, peer: PeerAddress): Promise<Result<boolean, Failure>>;

	abstract pull(peer: PeerAddress, bucket: number, page: number): Promise<Result<BucketPage, Failure>>;
}
