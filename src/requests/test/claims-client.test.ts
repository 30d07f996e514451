import {ok} from 'neverthrow';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createSeededRandom, createVirtualTime} from '../../../test/fakes/virtual-loop.js';
import type {ShardOwner} from '../../leases/common/shards.js';
import type {ClaimVerdict} from '../common/claims.js';
import {createClaimsClient} from '../node/claims-client.js';

const test = suite('claims client');
const successor: ShardOwner = {
	shard: 0, daemonId: 'entry-3', address: '127.0.0.1', peerPort: 1,
};

/** Creates a client whose key has no known owner until `ownedFromMs`. */
function createWorld(ownedFromMs: number) {
	const time = createVirtualTime(createSeededRandom(1));
	const claims = createClaimsClient({
		shards: {
			count: 1,
			owner: (_shard, now) => now >= ownedFromMs ? successor : undefined,
			reportWrongOwner: () => undefined,
		},
		transport: {
			claim: async (_owner, _request, now) => ok<ClaimVerdict>({kind: 'granted', until: now + 2000}),
			settle: async () => ok(),
		},
		clock: time.clock,
		loop: time.loop,
	});
	return {time, claims};
}

async function claimWithin(ownedFromMs: number, runForMs: number): Promise<{readonly outcome: string; readonly tookMs: number}> {
	const {time, claims} = createWorld(ownedFromMs);
	const startedAt = time.clock.monotonic();
	const claimed = claims.claim({
		key: 'key', bodyDigest: 'digest', claimId: 'claim', runForMs,
	}, startedAt).then(verdict => ({
		outcome: verdict.match(value => value.kind, failure => `${failure.effect}: ${failure.message}`), tookMs: time.clock.monotonic() - startedAt,
	}));
	await time.advance(10_000);
	return claimed;
}

test('a claim waits for a new owner while the lease of its key moves', async () => {
	const {outcome} = await claimWithin(700, 8000);
	assert.is(outcome, 'granted');
});

test('a claim without an owner is refused as not run after 1.5 s, which leaves time for another attempt', async () => {
	const {outcome, tookMs} = await claimWithin(9000, 8000);
	assert.is(outcome, 'notRun: no daemon owns the key at present');
	assert.ok(tookMs >= 1400 && tookMs <= 1600, `${tookMs} ms`);
});

test('a claim waits for an owner for at most half of its run time', async () => {
	const {outcome, tookMs} = await claimWithin(9000, 400);
	assert.is(outcome, 'notRun: no daemon owns the key at present');
	assert.ok(tookMs <= 300, `${tookMs} ms`);
});

test.run();
