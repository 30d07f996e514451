/** Hand-overs of leases over Connect. */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import {LeaseService} from '../../peers/common/gen/rosemaryshore/leases/v1/leases_pb.js';
import {callPeer} from '../../peers/common/peer-call.js';
import type {PeerAddress, Peers} from '../../peers/common/peers.js';
import {LeaseTransport} from '../common/lease-transport.js';
import type {ShardsService} from '../common/shards-service.js';

/** Time limit of one call. A lost call only delays the hand-over until the next regular read of the lease. */
const CALL_TIMEOUT_MS = 1000;

/** Creates the client of hand-over calls. */
export function createConnectLeaseTransport(peers: Peers): LeaseTransport {
	return new (class extends LeaseTransport {
		override async prepare(peer: PeerAddress, shard: number): Promise<Result<boolean, Failure>> {
			const answer = await callPeer('prepare transfer', peer, async () =>
				peers.client(LeaseService, peer, CALL_TIMEOUT_MS).prepare({shard}));
			return answer.map(response => response.ready);
		}

		override async offer(peer: PeerAddress, shard: number, version: number): Promise<Result<void, Failure>> {
			const answer = await callPeer('offer lease', peer, async () =>
				peers.client(LeaseService, peer, CALL_TIMEOUT_MS).offer({shard, version: BigInt(version)}));
			return answer.map(() => undefined);
		}
	})();
}

/** Serves hand-over calls to peers. */
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
