/** Claims keys at their owners, and sends outcomes until they are recorded. */
import {err, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import type {Clock} from '../../base/common/clock.js';
import {shardOf, type Shards, type ShardOwner} from '../../leases/common/shards.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {ClaimTransport} from '../common/claim-transport.js';
import type {
	ClaimRequest, ClaimVerdict, Claims, Outcome,
} from '../common/claims.js';

/** Dependencies of a claims client. */
export type ClaimsClientDependencies = {
	readonly shards: Pick<Shards, 'count' | 'owner' | 'reportWrongOwner'>;
	readonly transport: ClaimTransport;
	readonly clock: Clock;
	readonly loop: Loop;
};

const CLAIM_ATTEMPTS = 2;
const RETRY_AFTER_MS = 2000;
/**
 * Longest wait for the new owner of a key while a lease moves: three times the duration of two calls to the store and one
 * gossip period.
 */
const MAXIMUM_HANDOVER_WAIT_MS = 1500;
const HANDOVER_POLL_MS = 50;
/** Share of the run's time that the wait may take. */
const HANDOVER_WAIT_SHARE = 0.5;
const SETTLE_ATTEMPTS = 60;
const SETTLE_RETRY_MS = 1000;
/** Outcomes that may wait for their owner at the same time; further ones are not recorded, so repetitions receive `outcomeUnknown`. */
const MAXIMUM_UNSETTLED = 2000;

/** Creates the client of a daemon. */
export function createClaimsClient(dependencies: ClaimsClientDependencies): Claims {
	const {shards, transport, clock, loop} = dependencies;
	const lastOwnerByShard = new Map<number, ShardOwner>();
	let unsettled = 0;

	/** Returns the current owner, or else the last known one, which can still return outcomes while no daemon holds the lease. */
	function ownerOf(shard: number): ShardOwner | undefined {
		const owner = shards.owner(shard, clock.monotonic());
		if (owner) {
			lastOwnerByShard.set(shard, owner);
		}

		return owner ?? lastOwnerByShard.get(shard);
	}

	function refuse(message: string, retryAfterMs = RETRY_AFTER_MS): Result<never, Failure> {
		return err(createNotRun('unavailable', {step: 'claim key', peer: 'owner of the key'}, message, retryAfterMs));
	}

	function recordWrongOwner(owner: ShardOwner, failure: Failure): void {
		if (failure.code === 'notOwner') {
			lastOwnerByShard.delete(owner.shard);
			shards.reportWrongOwner(owner.shard, owner.daemonId);
		}
	}

	async function settleUntilRecorded(key: string, claimId: string, outcome: Outcome | undefined, attemptsLeft: number): Promise<void> {
		const owner = ownerOf(shardOf('key', key, shards.count));
		const settled = owner ? await transport.settle(owner, key, claimId, outcome) : undefined;
		if (settled?.isOk() === true || attemptsLeft <= 1) {
			return;
		}

		if (owner && settled?.isErr()) {
			recordWrongOwner(owner, settled.error);
		}

		await loop.sleep(SETTLE_RETRY_MS);
		await settleUntilRecorded(key, claimId, outcome, attemptsLeft - 1);
	}

	function settle(key: string, claimId: string, outcome: Outcome | undefined): void {
		if (unsettled >= MAXIMUM_UNSETTLED) {
			return;
		}

		unsettled += 1;
		void settleUntilRecorded(key, claimId, outcome, SETTLE_ATTEMPTS).finally(() => {
			unsettled -= 1;
		});
	}

	/** Returns the owner of a shard; waits until `until` when no owner is known, which is the case while a lease moves. */
	async function waitForOwner(shard: number, until: number): Promise<ShardOwner | undefined> {
		const owner = ownerOf(shard);
		if (owner !== undefined || clock.monotonic() >= until) {
			return owner;
		}

		await loop.sleep(HANDOVER_POLL_MS);
		return waitForOwner(shard, until);
	}

	async function claim(request: ClaimRequest, waitUntil: number, attemptsLeft: number, mayHaveBeenGranted: boolean): Promise<Result<ClaimVerdict, Failure>> {
		const owner = await waitForOwner(shardOf('key', request.key, shards.count), waitUntil);
		if (owner === undefined) {
			return refuse('no daemon owns the key at present');
		}

		const verdict = await transport.claim(owner, request, clock.monotonic());
		if (verdict.isOk()) {
			return verdict;
		}

		recordWrongOwner(owner, verdict.error);
		const mayBeGranted = mayHaveBeenGranted || verdict.error.effect === 'outcomeUnknown';
		const mayRetry = verdict.error.effect === 'outcomeUnknown' || verdict.error.code === 'notOwner';
		if (mayRetry && attemptsLeft > 1) {
			return claim(request, waitUntil, attemptsLeft - 1, mayBeGranted);
		}

		if (mayBeGranted) {
			// No request was or will be sent with this claim, so it can be freed if it was granted.
			settle(request.key, request.claimId, undefined);
		}

		return refuse(verdict.error.message, verdict.error.retryAfterMs);
	}

	return {
		claim: async (request, now) => claim(request, now + Math.min(MAXIMUM_HANDOVER_WAIT_MS, request.runForMs * HANDOVER_WAIT_SHARE), CLAIM_ATTEMPTS, false),
		settle,
	};
}
