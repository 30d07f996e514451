/** Renewals of shares between daemons over their peer connections; a daemon calls its own share owner directly. */
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../base/common/failure.js';
import {ShareService} from '../../peers/common/gen/rosemaryshore/limits/v1/shares_pb.js';
import type {Peers} from '../../peers/common/peers.js';
import type {RenewalResponse} from '../common/share-holder.js';
import type {ShareTransport} from '../common/share-transport.js';
import type {ShareOwner} from './share-owner.js';

const TIMEOUT_MS = 1000;

/** Serves the share owner to peers. */
export function serveShares(peers: Peers, owner: ShareOwner): void {
	peers.serve(ShareService, {
		renew(request) {
			const {daemonId, run, sequence, shares} = request;
			const answer = owner.renew(request.shard, {
				daemonId, run, sequence, reports: shares,
			});
			return answer.match(
				({fencing, shares: granted}) => ({fencing, shares: [...granted]}),
				failure => ({wrongOwner: failure.code === 'notOwner', notReady: failure.code !== 'notOwner'}),
			);
		},
	});
}

/** Creates the transport of a daemon; `self` is its own share owner. */
export function createConnectShareTransport(selfId: string, peers: Peers, self: ShareOwner): ShareTransport {
	return {
		async renew(owner, renewal): Promise<Result<RenewalResponse, Failure>> {
			if (owner.daemonId === selfId) {
				return self.renew(owner.shard, renewal);
			}

			const origin = {step: 'renew shares', peer: owner.daemonId};
			try {
				const {daemonId, run, sequence, reports} = renewal;
				const response = await peers.client(ShareService, owner, TIMEOUT_MS).renew({
					shard: owner.shard, daemonId, run, sequence, shares: [...reports],
				});
				if (response.wrongOwner) {
					return err(createNotRun('notOwner', origin, 'the daemon does not own the shard'));
				}

				return response.notReady ? err(createNotRun('unavailable', origin, 'the owner has not read the shares from the store yet')) : ok(response);
			} catch (error) {
				return err(createOutcomeUnknown('unavailable', origin, String(error)));
			}
		},
	};
}
