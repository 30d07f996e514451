/** Sends claims to other daemons over Connect RPC; calls the daemon's own owner directly. */
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../base/common/failure.js';
import type {ShardOwner} from '../../leases/common/shards.js';
import {ClaimService} from '../../peers/common/gen/rosemaryshore/requests/v1/claims_pb.js';
import type {Peers} from '../../peers/common/peers.js';
import type {ClaimTransport} from '../common/claim-transport.js';
import {
	readOutcome, readRefusal, readVerdict, writeOutcome, writeRefusal,
} from '../common/claim-messages.js';
import type {ClaimVerdict} from '../common/claims.js';
import type {ClaimOwner, OwnerVerdict} from './claim-owner.js';

const CALL_TIMEOUT_MS = 1500;

function toVerdict(verdict: OwnerVerdict, sentAt: number): ClaimVerdict {
	return verdict.kind === 'granted' ? {kind: 'granted', until: sentAt + verdict.windowMs} : verdict;
}

/** Serves calls of peers with this daemon's owner. */
export function serveClaims(peers: Peers, owner: ClaimOwner): void {
	peers.serve(ClaimService, {
		async claim(request) {
			const verdict = await owner.claim(request.shard, request);
			if (verdict.isErr()) {
				return writeRefusal(verdict.error);
			}

			switch (verdict.value.kind) {
				case 'granted': {
					return {verdict: {case: 'granted', value: {windowMs: verdict.value.windowMs}}};
				}

				case 'settled': {
					return {verdict: {case: 'settled', value: writeOutcome(verdict.value.outcome)}};
				}

				case 'mismatch':
				case 'running': {
					return {verdict: {case: verdict.value.kind, value: {}}};
				}
			}
		},
		async settle(request) {
			const outcome = request.outcome && readOutcome(request.outcome);
			const settled = await owner.settle(request.shard, request.key, request.claimId, outcome);
			return {recorded: settled.isOk(), wrongOwner: settled.isErr() && settled.error.code === 'notOwner'};
		},
	});
}

/** Creates the transport of a daemon; `self` is its own owner. */
export function createConnectClaimTransport(selfId: string, peers: Peers, self: ClaimOwner): ClaimTransport {
	async function callPeer<T>(owner: ShardOwner, call: () => Promise<Result<T, Failure>>): Promise<Result<T, Failure>> {
		try {
			return await call();
		} catch (error) {
			return err(createOutcomeUnknown('unavailable', {step: 'call owner of key', peer: owner.daemonId}, String(error)));
		}
	}

	return {
		async claim(owner, request, now) {
			if (owner.daemonId === selfId) {
				const verdict = await self.claim(owner.shard, request);
				return verdict.map(known => toVerdict(known, now));
			}

			return callPeer(owner, async () => {
				const response = await peers.client(ClaimService, owner, CALL_TIMEOUT_MS).claim({shard: owner.shard, ...request});
				const verdict = readVerdict(response, now);
				return verdict ? ok(verdict) : err(readRefusal(response, owner.daemonId));
			});
		},
		async settle(owner, key, claimId, outcome) {
			if (owner.daemonId === selfId) {
				return self.settle(owner.shard, key, claimId, outcome);
			}

			return callPeer(owner, async () => {
				const response = await peers.client(ClaimService, owner, CALL_TIMEOUT_MS).settle({
					shard: owner.shard, key, claimId, ...(outcome && {outcome: writeOutcome(outcome)}),
				});
				return response.recorded ? ok() : err(createNotRun(response.wrongOwner ? 'notOwner' : 'unavailable', {step: 'settle key', peer: owner.daemonId}, 'the outcome was not recorded'));
			});
		},
	};
}
