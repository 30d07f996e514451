import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {openSocketPeers} from '../../../test/fakes/socket-peers.js';
import {createConnectLeaseLink, serveLeases} from '../node/connect-lease-link.js';

const test = suite('lease link over connect');

const taken: number[] = [];
let offerEnds = async (): Promise<void> => undefined;
const world = await openSocketPeers(peers => {
	serveLeases(peers, {
		prepare: async shard => shard === 3,
		async takeOffer(shard) {
			taken.push(shard);
			await offerEnds();
		},
	});
});
const link = createConnectLeaseLink(world.caller);

test.after(() => {
	world.close();
});

test('asks and offers by shard', async () => {
	const prepared = await Promise.all([3, 4].map(async shard => link.prepare(world.serving, shard)));
	assert.equal(prepared.map(answer => answer._unsafeUnwrap()), [true, false]);
	const offered = await link.offer(world.serving, 5, 2 ** 40);
	assert.ok(offered.isOk());
	assert.equal(taken, [5]);
});

test('a peer that is away, silent or without the service is named with the step', async () => {
	const answers = await Promise.all([world.closed, world.silent, world.empty].map(async peer => link.prepare(peer, 1)));
	const failures = answers.map(answer => answer._unsafeUnwrapErr());
	assert.equal(failures.map(({code, effect}) => `${code} ${effect}`), ['unavailable outcomeUnknown', 'deadlineExceeded outcomeUnknown', 'unsupported notRun']);
	assert.equal(failures.map(({step}) => step), ['prepare transfer', 'prepare transfer', 'prepare transfer']);
	assert.is(failures[0]?.peer, `127.0.0.1:${world.closed.peerPort}`);
});

test('an offer that fails or breaks off at the receiver has an unknown outcome, though it was taken', async () => {
	offerEnds = async () => {
		throw new Error('not taken');
	};

	const failed = await link.offer(world.serving, 6, 1);
	offerEnds = async () => {
		world.endServing();
	};

	const broken = await link.offer(world.serving, 7, 1);
	assert.equal([failed, broken].map(answer => answer._unsafeUnwrapErr().effect), ['outcomeUnknown', 'outcomeUnknown']);
	assert.is(broken._unsafeUnwrapErr().step, 'offer lease');
	assert.equal(taken.slice(1), [6, 7]);
});

test.run();
