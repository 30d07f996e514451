import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {openSocketPeers} from '../../../test/fakes/socket-peers.js';
import type {ConfigurationBody} from '../common/configuration-transport.js';
import {createConnectConfigurationTransport, serveConfiguration} from '../node/connect-configuration-transport.js';

const test = suite('configuration transport over Connect');

const requested: Array<readonly [number, number]> = [];
let respond = async (): Promise<ConfigurationBody> => ({version: 0, value: ''});
const world = await openSocketPeers(peers => {
	serveConfiguration(peers, {
		async serve(wantedVersion, ownVersion) {
			requested.push([wantedVersion, ownVersion]);
			return respond();
		},
	});
});
const transport = createConnectConfigurationTransport(world.caller);

test.after(() => {
	world.close();
});

test('a fetch returns the complete value, also a large one, and versions beyond 32 bits', async () => {
	const body = {version: 2 ** 40, value: JSON.stringify({plans: 'ü'.repeat(300_000)})};
	respond = async () => body;
	const fetched = await transport.fetch(world.serving, body.version, 7);
	assert.equal(fetched._unsafeUnwrap(), body);
	assert.equal(requested, [[body.version, 7]]);
});

test('failures of an unreachable, silent or unimplemented peer name the peer and the step', async () => {
	const answers = await Promise.all([world.closed, world.silent, world.empty].map(async peer => transport.fetch(peer, 2, 1)));
	const failures = answers.map(answer => answer._unsafeUnwrapErr());
	assert.equal(failures.map(({code}) => code), ['unavailable', 'deadlineExceeded', 'unsupported']);
	assert.equal(failures.map(({step}) => step), ['fetch configuration', 'fetch configuration', 'fetch configuration']);
	assert.is(failures[2]?.peer, `127.0.0.1:${world.empty.peerPort}`);
});

test('a fetch fails when the peer throws or closes the connection', async () => {
	respond = async () => {
		throw new Error('no configuration');
	};

	const failed = await transport.fetch(world.serving, 2, 1);
	respond = async () => {
		world.endServing();
		return {version: 2, value: '{}'};
	};

	const broken = await transport.fetch(world.serving, 2, 1);
	assert.equal([failed, broken].map(answer => answer._unsafeUnwrapErr().code), ['unavailable', 'aborted']);
});

test.run();
