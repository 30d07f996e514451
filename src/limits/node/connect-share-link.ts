/** Shares between daemons over their peer connections; the own side is called directly. */
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../base/common/failure.js';
import {ShareService} from '../../peers/common/gen/rosemaryshore/limits/v1/shares_pb.js';
import type {Peers} from '../../peers/common/peers.js';
import type {ShareAnswer} from '../common/share-holder.js';
import type {ShareLink} from '../common/share-link.js';
import type {ShareOwner} from './share-owner.js';

const TIMEOUT_MS = 1000;

/** Serves the owner's side to peers. */
export function serveShares(peers: Peers, owner: ShareOwner): void {
	peers.serve(ShareService, {
		renew(request) {
			const {daemonId, run, sequence, shares} = request;
			const answer = owner.renew(request.shard, {
				daemonId, run, sequence, reports: shares,
			});
			return answer.match(
				({fencing, shares: told}) => ({fencing, shares: [...told]}),
				failure => ({wrongOwner: failure.code === 'notOwner', notReady: failure.code !== 'notOwner'}),
			);
		},
	});
}

/** Creates the link of a daemon. */
export function createConnectShareLink(selfId: string, peers: Peers, self: ShareOwner): ShareLink {
	return {
		async renew(owner, renewal): Promise<Result<ShareAnswer, Failure>> {
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

				return response.notReady ? err(createNotRun('unavailable', origin, 'the shares are not read yet')) : ok(response);
			} catch (error) {
				return err(createOutcomeUnknown('unavailable', origin, String(error)));
			}
		},
	};
}
