/** Transport of gossip over Connect. */
import {Code, ConnectError} from '@connectrpc/connect';
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../base/common/failure.js';
import {GossipService} from '../../peers/common/gen/rosemaryshore/membership/v1/gossip_pb.js';
import {callPeer, formatPeer} from '../../peers/common/peer-call.js';
import type {PeerAddress, Peers} from '../../peers/common/peers.js';
import type {BucketPage, GossipMessage} from '../common/gossip.js';
import {GossipTransport, type GossipReceiver} from '../common/gossip-transport.js';
import {
	decodeGossip, decodePage, encodeGossip, encodePage,
} from '../common/gossip-wire.js';

function decodeResponse(peer: PeerAddress, message: GossipMessage | undefined): Result<GossipMessage, Failure> {
	return message
		? ok(message)
		: err(createOutcomeUnknown('invalid', {step: 'exchange gossip', peer: formatPeer(peer)}, 'the response contains no sender'));
}

/** Creates the sending side. A direct call times out after `timeoutMs`, a probe through a third daemon after twice that time. */
export function createConnectGossipTransport(peers: Peers, timeoutMs: number): GossipTransport {
	return new (class extends GossipTransport {
		override async exchange(peer: PeerAddress, message: GossipMessage) {
			const exchanged = await callPeer('exchange gossip', peer, async () =>
				peers.client(GossipService, peer, timeoutMs).exchange({gossip: encodeGossip(message)}));
			return exchanged.andThen(response => decodeResponse(peer, decodeGossip(response.gossip)));
		}

		override async probe(helper: PeerAddress, peer: PeerAddress) {
			const probed = await callPeer('probe through peer', helper, async () =>
				peers.client(GossipService, helper, timeoutMs * 2).probe({address: peer.address, peerPort: peer.peerPort}));
			return probed.map(response => response.reached);
		}

		override async pull(peer: PeerAddress, bucket: number, page: number): Promise<Result<BucketPage, Failure>> {
			const pulled = await callPeer('pull bucket', peer, async () =>
				peers.client(GossipService, peer, timeoutMs).pull({bucket, page}));
			return pulled.map(decodePage);
		}
	})();
}

function toConnectError(failure: Failure): ConnectError {
	return new ConnectError(failure.message, failure.code === 'unsupported' ? Code.FailedPrecondition : Code.Internal);
}

/** Registers the receiving side, which peers call. */
export function serveGossip(peers: Peers, receiver: GossipReceiver): void {
	const origin = {step: 'exchange gossip', peer: 'unknown'};
	peers.serve(GossipService, {
		exchange(request) {
			const message = decodeGossip(request.gossip);
			const response = message ? receiver.exchange(message) : err(createNotRun('invalid', origin, 'the message contains no sender'));
			if (response.isErr()) {
				throw toConnectError(response.error);
			}

			return {gossip: encodeGossip(response.value)};
		},
		async probe(request) {
			return {reached: await receiver.probe(request)};
		},
		pull: request => encodePage(receiver.pull(request.bucket, request.page)),
	});
}
