import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {lifecycleKey} from '../../kernel/common/lifecycle.js';
import {silentLog} from '../../kernel/common/log.js';
import {hashToHex} from '../../base/common/hash.js';
import {checkSettings} from '../../settings/common/check.js';
import {listFeatures} from '../node/contributions.js';
import {startDaemon} from '../node/daemon.js';
import {findFreePorts} from '../../base/node/free-ports.js';
import {createOperatorClient} from '../node/operator-client.js';

const test = suite('operations');

test('returns the status to operators and drains on their request, but not with an unknown key', async () => {
	const [callerPort, peerPort] = await findFreePorts('127.0.0.1', 2);
	const settings = checkSettings({
		daemon: {
			id: 'entry-1', address: '127.0.0.1', callerPort, peerPort, availabilityZone: 'konya-a',
		},
		availabilityZones: [{name: 'konya-a', region: 'ic-anadolu'}],
		store: {kind: 'memory', url: 'http://127.0.0.1:1'},
		vmList: {url: 'http://127.0.0.1:1'},
		pools: [{
			name: 'models', kind: 'engine', models: ['notes'], fencing: 'checked',
		}],
		operatorKeys: [hashToHex('key')],
		requests: {drainMs: 3000},
	})._unsafeUnwrap();
	const started = await startDaemon({settings, contributions: listFeatures(), surroundings: {log: silentLog}});
	const daemon = started._unsafeUnwrap();
	const url = `http://127.0.0.1:${callerPort}`;
	const client = createOperatorClient({daemon: url, key: 'key'});

	const refused = await createOperatorClient({daemon: url, key: 'other'}).drain();
	assert.is(refused._unsafeUnwrapErr().effect, 'notRun');
	assert.not(daemon.use(lifecycleKey).isStopping());

	const read = await client.readStatus();
	const status = read._unsafeUnwrap();
	assert.equal([status.daemon, status.configurationVersion], ['entry-1', 0]);
	assert.equal(status.pools, [{
		name: 'models', servers: [], models: [{
			pool: 'models', model: 'notes', target: 0, engines: [],
		}],
	}]);

	const drained = await client.drain();
	assert.ok(drained.isOk());
	assert.is(await daemon.stopRequested, 'drain route');
	assert.is(await daemon.stop(), true);
});

test.run();
