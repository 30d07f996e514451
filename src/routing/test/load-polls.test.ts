import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createLoadPolls} from '../common/load-polls.js';
import type {BackendServer} from '../common/router.js';

const test = suite('load polls');

const limits = {least: 2, most: 8, perDispatch: 2};

function createServers(count: number): readonly BackendServer[] {
	return Array.from({length: count}, (_, index) => ({
		id: `worker-${index}`, address: '127.0.0.1', port: index + 1, pool: 'models', availabilityZone: 'konya-a', region: 'ic-anadolu', state: 'live',
	}));
}

const idle = () => 0;

test('the number of loads read is proportional to the dispatches since the last poll, within the limits', () => {
	const polls = createLoadPolls(limits);
	const servers = createServers(20);
	const read = (dispatches: number) => {
		Array.from({length: dispatches}).forEach(() => {
			polls.recordDispatch();
		});
		return polls.next(servers, idle).length;
	};

	assert.equal([0, 1, 3, 100, 0].map(read), [2, 2, 6, 8, 2]);
});

test('an idle daemon reads all servers in rotation', () => {
	const polls = createLoadPolls(limits);
	const servers = createServers(9);
	const read = Array.from({length: 5}).flatMap(() => polls.next(servers, idle).map(server => server.id));
	assert.is(new Set(read).size, 9);
});

test('servers in use are read more often, and all others are still read', () => {
	const polls = createLoadPolls(limits);
	const servers = createServers(40);
	const inUse = (server: BackendServer) => server.id === 'worker-39' ? 1 : 0;
	const read = Array.from({length: 80}).flatMap(() => polls.next(servers, inUse).map(server => server.id));
	const times = (id: string) => read.filter(other => other === id).length;
	assert.ok(times('worker-39') > times('worker-0'));
	assert.ok(servers.every(server => times(server.id) >= 3));
});

test.run();
