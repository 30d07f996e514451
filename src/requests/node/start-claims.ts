/** Starts the claims of idempotency keys on a daemon. */
import {joinDisposables, type Disposable} from '../../base/common/disposable.js';
import type {Context} from '../../kernel/common/contribution.js';
import {shardsKey} from '../../leases/common/shards.js';
import {peersKey} from '../../peers/common/peers.js';
import {storeKey, type WriteId} from '../../adapters/common/store.js';
import {settingsKey} from '../../settings/common/settings.js';
import {claimsKey, type Claims} from '../common/claims.js';
import {createClaimOwner} from './claim-owner.js';
import {createClaimsClient} from './claims-client.js';
import {createConnectClaimTransport, serveClaims} from './connect-claim-transport.js';

const EXPIRY_INTERVAL_MS = 60_000;

/** Starts the claims. `nextWriteId` is the daemon's generator of write ids. */
export function startClaims(context: Context, nextWriteId: () => WriteId): {readonly claims: Claims; readonly disposable: Disposable} {
	const {clock, loop} = context;
	const {daemon, requests} = context.use(settingsKey);
	const shards = context.use(shardsKey);
	const peers = context.use(peersKey);
	const owner = createClaimOwner({
		shards,
		store: context.use(storeKey),
		clock,
		bounds: {retentionMs: requests.claimRetentionMs, generationBytes: requests.claimGenerationBytes, windowMs: requests.claimWindowMs},
		nextWriteId,
	});
	serveClaims(peers, owner);
	const claims = createClaimsClient({
		shards, transport: createConnectClaimTransport(daemon.id, peers, owner), clock, loop,
	});
	context.provide(claimsKey, claims);
	const disposable = joinDisposables([
		shards.onDidAcquire(holding => {
			owner.reloadShard(holding.shard);
		}),
		loop.every({
			name: 'remove expired claims', periodMs: EXPIRY_INTERVAL_MS, jitterShare: 0.5, run: owner.removeExpired,
		}),
	]);
	return {claims, disposable};
}
