import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createJsonLog} from '../node/json-log.js';
import {createStatsdMetrics} from '../node/statsd-metrics.js';

const test = suite('outputs');

test('writes one JSON object per line, with the fields of the log and its parents', () => {
	const lines: string[] = [];
	const log = createJsonLog({
		level: 'info',
		fields: {daemon: 'entry-1'},
		write(line) {
			lines.push(line);
		},
	});
	log.debug('not written');
	log.child({feature: 'leases'}).warn('lease\nlost', {shard: 3, error: new Error('late')});
	Array.from({length: 9}).forEach(() => {
		log.info('again');
	});
	const {time, ...line} = JSON.parse(lines[0] ?? '');
	assert.match(String(time), /^\d{4}-\d\d-\d\dT.*Z$/);
	assert.equal(line, {
		level: 'warn', message: 'lease\nlost', daemon: 'entry-1', feature: 'leases', shard: 3, error: 'late',
	});
	assert.is(lines.length, 10);
	assert.ok(lines.every(text => text.indexOf('\n') === text.length - 1));
});

test('sends StatsD datagrams with prefix and tags', async () => {
	const server = createSocket('udp4');
	server.bind(0, '127.0.0.1');
	await once(server, 'listening');
	const metrics = createStatsdMetrics({
		host: '127.0.0.1', port: server.address().port, prefix: 'rs.', tags: {daemon: 'entry-1'},
	});
	metrics.count('requests.refused', 2, {code: 'overloaded'});
	metrics.dispose();
	const [message] = await once(server, 'message');
	server.close();
	assert.match(String(message), /^rs\.requests\.refused:2\|c\|#.*code:overloaded/);
	assert.match(String(message), /daemon:entry-1/);
});

test('metrics raise no error without a StatsD server or after dispose', async () => {
	const metrics = createStatsdMetrics({
		host: '127.0.0.1', port: 9, prefix: '', tags: {},
	});
	Array.from({length: 200}).forEach(() => {
		metrics.timing('requests.wait', 3);
	});
	metrics.dispose();
	metrics.gauge('after.dispose', 1);
	await new Promise(resolve => {
		setTimeout(resolve, 50);
	});
});

test.run();
