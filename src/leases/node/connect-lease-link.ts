/** Hand-overs of leases over Connect. */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import {LeaseService} from '../../peers/common/gen/rosemaryshore/leases/v1/leases_pb.js';
import {callPeer} from '../../peers/common/peer-call.js';
import type {PeerAddress, Peers} from '../../peers/common/peers.js';
import {LeaseLink} from '../common/lease-link.js';
import type {ShardsService} from '../common/shards-service.js';

/** Time for one call; a lost one costs no more than the wait for the next look at the lease. */
const OFFER_TIMEOUT_MS = 1000;

/** Creates the sending side of hand-overs. */
export function createConnectLeaseLink(peers: Peers): LeaseLink {
	return new (class extends LeaseLink {
		override async prepare(peer: PeerAddress, shard: number): Promise<Result<boolean, Failure>> {
			const answer = await callPeer('prepare transfer', peer, async () =>
				peers.client(LeaseService, peer, OFFER_TIMEOUT_MS).prepare({shard}));
			return answer.map(response => response.ready);
		}

		override async offer(peer: PeerAddress, shard: number, version: number): Promise<Result<void, Failure>> {
			const answer = await callPeer('offer lease', peer, async () =>
				peers.client(LeaseService, peer, OFFER_TIMEOUT_MS).offer({shard, version: BigInt(version)}));
			return answer.map(() => undefined);
		}
	})();
}

/** Offers the receiving side to peers. */
export function serveLeases(peers: Peers, service: Pick<ShardsService, 'prepare' | 'takeOffer'>): void {
	peers.serve(LeaseService, {
		async prepare(request) {
			return {ready: await service.prepare(request.shard)};
		},
		async offer(request) {
			await service.takeOffer(request.shard);
			return {};
		},
	});
}
