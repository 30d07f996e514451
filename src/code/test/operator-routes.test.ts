import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {hashToHex} from '../../base/common/hash.js';
import {findFreePorts} from '../../base/node/free-ports.js';
import {silentLog} from '../../kernel/common/log.js';
import {createHttpClient} from '../../adapters/node/http-client.js';
import {checkSettings} from '../../settings/common/check.js';
import {listFeatures} from '../node/contributions.js';
import {startDaemon} from '../node/daemon.js';
import {createOperatorClient} from '../node/operator-client.js';

const test = suite('operator routes');

const lists = {
	plans: [{
		name: 'portal', customer: 'anadolu', weight: 1, keyHashes: [hashToHex('customer key')], trainers: [],
	}],
	grants: [],
};

/** Starts a daemon with a store in memory (kind `memory`) or with a store at an unreachable URL. */
async function open(store: {readonly kind?: string; readonly url: string}) {
	const [callerPort, peerPort] = await findFreePorts('127.0.0.1', 2);
	const settings = checkSettings({
		daemon: {
			id: 'entry-1', address: '127.0.0.1', callerPort, peerPort, availabilityZone: 'konya-a',
		},
		availabilityZones: [{name: 'konya-a', region: 'ic-anadolu'}],
		store,
		vmList: {url: 'http://127.0.0.1:1'},
		pools: [],
		operatorKeys: [hashToHex('key')],
		requests: {drainMs: 1000},
	})._unsafeUnwrap();
	const started = await startDaemon({settings, contributions: listFeatures(), surroundings: {log: silentLog}});
	const url = `http://127.0.0.1:${callerPort}`;
	const http = createHttpClient(url);
	return {
		daemon: started._unsafeUnwrap(),
		client: createOperatorClient({daemon: url, key: 'key'}),
		/** Sends a call and returns the HTTP status of the response. */
		async call(method: string, path: string, key: string, body?: string) {
			const response = await http.call({
				step: 'call', method, path, timeoutMs: 5000, headers: {authorization: `Bearer ${key}`}, ...(body !== undefined && {body}),
			});
			return response._unsafeUnwrap().status;
		},
	};
}

test('writes lists only over the version that was read, and records the change in the audit trail', async () => {
	const {daemon, client} = await open({kind: 'memory', url: 'http://127.0.0.1:1'});
	const written = await client.writeLists({operator: 'eleni', ifVersion: 0, lists});
	const {version} = written._unsafeUnwrap();
	const read = await client.readLists();
	assert.equal(read._unsafeUnwrap(), {version, lists});
	const conflicting = await client.writeLists({operator: 'mehmet', ifVersion: 0, lists});
	assert.equal([conflicting._unsafeUnwrapErr().code, conflicting._unsafeUnwrapErr().effect], ['conflict', 'notRun']);
	const trail = await client.readAudit(0, 10);
	assert.equal(trail._unsafeUnwrap().map(entry => [entry.action, entry.actor.split(' ', 1)[0], entry.toVersion]), [['change-configuration', 'eleni', version]]);
	await daemon.stop();
});

test('rejects unknown keys and customer keys on every route, and malformed calls', async () => {
	const {daemon, client, call} = await open({kind: 'memory', url: 'http://127.0.0.1:1'});
	await client.writeLists({operator: 'eleni', ifVersion: 0, lists});
	const routes = [['GET', '/v1/configuration'], ['PUT', '/v1/configuration'], ['GET', '/v1/audit'], ['GET', '/v1/status'], ['POST', '/v1/drain']] as const;
	const refusals = await Promise.all(routes.flatMap(([method, path]) => ['', 'other', 'customer key'].map(async key => call(method, path, key))));
	assert.equal(refusals, refusals.map(() => 401));
	const malformed = await Promise.all([
		call('PUT', '/v1/configuration', 'key', '{'),
		call('PUT', '/v1/configuration', 'key', JSON.stringify({operator: 'a b', ifVersion: 0, lists})),
		call('PUT', '/v1/configuration', 'key', JSON.stringify({operator: 'eleni', ifVersion: 0, lists: {plans: 'none'}})),
		call('GET', '/v1/audit?limit=10001', 'key'),
		call('GET', '/v1/audit?since=-1', 'key'),
	]);
	assert.equal(malformed, [400, 400, 400, 400, 400]);
	const after = await client.readLists();
	assert.equal(after._unsafeUnwrap().lists, lists);
	await daemon.stop();
});

test('with an unavailable store, a write reports that nothing was applied, and the lists can still be read', async () => {
	const {daemon, client} = await open({url: 'http://127.0.0.1:1'});
	const written = await client.writeLists({operator: 'eleni', ifVersion: 0, lists});
	assert.equal([written._unsafeUnwrapErr().code, written._unsafeUnwrapErr().effect], ['unavailable', 'notRun']);
	const trail = await client.readAudit(0, 10);
	assert.is(trail._unsafeUnwrapErr().code, 'unavailable');
	const read = await client.readLists();
	assert.is(read._unsafeUnwrap().version, 0);
	await daemon.stop();
});

test.run();
