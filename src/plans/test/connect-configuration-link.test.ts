import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {openSocketPeers} from '../../../test/fakes/socket-peers.js';
import type {ConfigurationBody} from '../common/configuration-link.js';
import {createConnectConfigurationLink, serveConfiguration} from '../node/connect-configuration-link.js';

const test = suite('configuration link over connect');

const asked: Array<readonly [number, number]> = [];
let answerOf = async (): Promise<ConfigurationBody> => ({version: 0, value: ''});
const world = await openSocketPeers(peers => {
	serveConfiguration(peers, {
		async serve(wantedVersion, ownVersion) {
			asked.push([wantedVersion, ownVersion]);
			return answerOf();
		},
	});
});
const link = createConnectConfigurationLink(world.caller);

test.after(() => {
	world.close();
});

test('fetches a body whole, also a large one and versions beyond 32 bits', async () => {
	const body = {version: 2 ** 40, value: JSON.stringify({plans: 'ü'.repeat(300_000)})};
	answerOf = async () => body;
	const fetched = await link.fetch(world.serving, body.version, 7);
	assert.equal(fetched._unsafeUnwrap(), body);
	assert.equal(asked, [[body.version, 7]]);
});

test('a peer that is away, silent or without the service is named with the step', async () => {
	const answers = await Promise.all([world.closed, world.silent, world.empty].map(async peer => link.fetch(peer, 2, 1)));
	const failures = answers.map(answer => answer._unsafeUnwrapErr());
	assert.equal(failures.map(({code}) => code), ['unavailable', 'deadlineExceeded', 'unsupported']);
	assert.equal(failures.map(({step}) => step), ['fetch configuration', 'fetch configuration', 'fetch configuration']);
	assert.is(failures[2]?.peer, `127.0.0.1:${world.empty.peerPort}`);
});

test('a receiver that fails or breaks off gives no body', async () => {
	answerOf = async () => {
		throw new Error('no configuration');
	};

	const failed = await link.fetch(world.serving, 2, 1);
	answerOf = async () => {
		world.endServing();
		return {version: 2, value: '{}'};
	};

	const broken = await link.fetch(world.serving, 2, 1);
	assert.equal([failed, broken].map(answer => answer._unsafeUnwrapErr().code), ['unavailable', 'aborted']);
});

test.run();
