/** Calls between daemons for gossip. */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import type {PeerAddress} from '../../peers/common/peers.js';
import type {BucketPage, GossipMessage} from './gossip.js';

/** The receiving side of gossip. */
export type GossipReceiver = {
	/** Applies a message and returns the response; a failure if the sender's protocol is too old. */
	readonly exchange: (message: GossipMessage) => Result<GossipMessage, Failure>;
	/** Contacts a peer on behalf of another daemon; whether the peer responded. */
	readonly probe: (peer: PeerAddress) => Promise<boolean>;
	readonly pull: (bucket: number, page: number) => BucketPage;
};

/** The sending side of gossip. Each call ends within its timeout. */
export abstract class GossipTransport {
	abstract exchange(peer: PeerAddress, message: GossipMessage): Promise<Result<GossipMessage, Failure>>;

	/** Requests `helper` to contact `peer`; the result says whether `peer` responded. */
	abstract probe(helper: PeerAddress, peer: PeerAddress): Promise<Result<boolean, Failure>>;

	abstract pull(peer: PeerAddress, bucket: number, page: number): Promise<Result<BucketPage, Failure>>;
}
