/** Gossip over Connect. */
import {Code, ConnectError} from '@connectrpc/connect';
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../base/common/failure.js';
import {GossipService} from '../../peers/common/gen/rosemaryshore/membership/v1/gossip_pb.js';
import {callPeer, formatPeer} from '../../peers/common/peer-call.js';
import type {PeerAddress, Peers} from '../../peers/common/peers.js';
import type {BucketPage, GossipMessage} from '../common/gossip.js';
import {GossipLink, type GossipReceiver} from '../common/gossip-link.js';
import {
	decodeGossip, decodePage, encodeGossip, encodePage,
} from '../common/gossip-wire.js';

function decodeAnswer(peer: PeerAddress, message: GossipMessage | undefined): Result<GossipMessage, Failure> {
	return message
		? ok(message)
		: err(createOutcomeUnknown('invalid', {step: 'exchange gossip', peer: formatPeer(peer)}, 'the answer names no sender'));
}

/** Creates the sending side. A direct call may take `timeoutMs`, a call through a third daemon twice as long. */
export function createConnectGossipLink(peers: Peers, timeoutMs: number): GossipLink {
	return new (class extends GossipLink {
		override async exchange(peer: PeerAddress, message: GossipMessage) {
			const answer = await callPeer('exchange gossip', peer, async () =>
				peers.client(GossipService, peer, timeoutMs).exchange({gossip: encodeGossip(message)}));
			return answer.andThen(response => decodeAnswer(peer, decodeGossip(response.gossip)));
		}

		override async probe(helper: PeerAddress, peer: PeerAddress) {
			const answer = await callPeer('probe through peer', helper, async () =>
				peers.client(GossipService, helper, timeoutMs * 2).probe({address: peer.address, peerPort: peer.peerPort}));
			return answer.map(response => response.reached);
		}

		override async pull(peer: PeerAddress, bucket: number, page: number): Promise<Result<BucketPage, Failure>> {
			const answer = await callPeer('pull bucket', peer, async () =>
				peers.client(GossipService, peer, timeoutMs).pull({bucket, page}));
			return answer.map(decodePage);
		}
	})();
}

function toConnectError(failure: Failure): ConnectError {
	return new ConnectError(failure.message, failure.code === 'unsupported' ? Code.FailedPrecondition : Code.Internal);
}

/** Offers the receiving side to peers. */
export function serveGossip(peers: Peers, receiver: GossipReceiver): void {
	const origin = {step: 'exchange gossip', peer: 'unknown'};
	peers.serve(GossipService, {
		exchange(request) {
			const message = decodeGossip(request.gossip);
			const answer = message ? receiver.exchange(message) : err(createNotRun('invalid', origin, 'the message names no sender'));
			if (answer.isErr()) {
				throw toConnectError(answer.error);
			}

			return {gossip: encodeGossip(answer.value)};
		},
		async probe(request) {
			return {reached: await receiver.probe(request)};
		},
		pull: request => encodePage(receiver.pull(request.bucket, request.page)),
	});
}
