import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {openSocketPeers} from '../../../test/fakes/socket-peers.js';
import {createConnectLeaseTransport, serveLeases} from '../node/connect-lease-transport.js';

const test = suite('lease transport over Connect');

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
const transport = createConnectLeaseTransport(world.caller);

test.after(() => {
	world.close();
});

test('prepare and offer pass the shard to the peer', async () => {
	const prepared = await Promise.all([3, 4].map(async shard => transport.prepare(world.serving, shard)));
	assert.equal(prepared.map(answer => answer._unsafeUnwrap()), [true, false]);
	const offered = await transport.offer(world.serving, 5, 2 ** 40);
	assert.ok(offered.isOk());
	assert.equal(taken, [5]);
});

test('failures of an unreachable, silent or unimplemented peer name the peer and the step', async () => {
	const answers = await Promise.all([world.closed, world.silent, world.empty].map(async peer => transport.prepare(peer, 1)));
	const failures = answers.map(answer => answer._unsafeUnwrapErr());
	assert.equal(failures.map(({code, effect}) => `${code} ${effect}`), ['unavailable outcomeUnknown', 'deadlineExceeded outcomeUnknown', 'unsupported notRun']);
	assert.equal(failures.map(({step}) => step), ['prepare transfer', 'prepare transfer', 'prepare transfer']);
	assert.is(failures[0]?.peer, `127.0.0.1:${world.closed.peerPort}`);
});

test('an offer that the receiver processes but answers with an error or a closed connection has an unknown outcome', async () => {
	offerEnds = async () => {
		throw new Error('not taken');
	};

	const failed = await transport.offer(world.serving, 6, 1);
	offerEnds = async () => {
		world.endServing();
	};

	const broken = await transport.offer(world.serving, 7, 1);
	assert.equal([failed, broken].map(answer => answer._unsafeUnwrapErr().effect), ['outcomeUnknown', 'outcomeUnknown']);
	assert.is(broken._unsafeUnwrapErr().step, 'offer lease');
	assert.equal(taken.slice(1), [6, 7]);
});

test.run();
