import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {checkSettings} from '../common/check.js';
import {formatProblem} from '../common/problem.js';
import {readSettings} from '../node/json-file.js';

const test = suite('settings check');

const valid = {
	daemon: {
		id: 'entry-1', address: '127.0.0.1', callerPort: 8080, peerPort: 8081, availabilityZone: 'konya-a',
	},
	availabilityZones: [{name: 'konya-a', region: 'ic-anadolu'}],
	store: {url: 'http://127.0.0.1:7001'},
	vmList: {url: 'http://127.0.0.1:7002'},
	weightStore: {url: 'http://127.0.0.1:7003'},
	pools: [
		{
			name: 'kalip-llm', kind: 'engine', models: ['fitting-notes'], fencing: 'checked',
		},
		{name: 'uye-portal', kind: 'service', operations: [{path: '/lookup', idempotent: true}]},
	],
	scoring: [{name: 'rater', url: 'http://127.0.0.1:7004'}],
	trainers: [{
		name: 'fitting', pool: 'kalip-llm', model: 'fitting-notes', scoring: 'rater', stalenessBound: 1,
	}],
};

/** Returns a copy of the valid document with the value at a path replaced. */
function breakAt(segments: ReadonlyArray<string | number>, value: unknown): unknown {
	const document: unknown = structuredClone(valid);
	const parent: any = segments.slice(0, -1).reduce((node: any, segment): unknown => node[segment], document);
	parent[segments.at(-1) ?? ''] = value;
	return document;
}

const broken: ReadonlyArray<readonly [name: string, path: ReadonlyArray<string | number>, value: unknown, expected: RegExp]> = [
	['an unknown key at the root', ['polls'], [], /^f: \$: unknown key "polls"; allowed: .*pools/],
	['an unknown key in a pool', ['pools', 0, 'slot'], 3, /^f: \$\.pools\[0]: unknown key "slot"; allowed: .*slots/],
	['a missing address', ['daemon', 'address'], undefined, /^f: \$\.daemon\.address: found nothing; allowed: an IPv4 or IPv6 address/],
	['a host name in place of an address', ['store', 'url'], 'http://store.local', /^f: \$\.store\.url: found "http:\/\/store\.local"; allowed: an http or https URL whose host is an IP number/],
	['a port out of range', ['daemon', 'peerPort'], 70_000, /^f: \$\.daemon\.peerPort: found 70000; allowed: .*65535/],
	['text in place of a number', ['daemon', 'callerPort'], '8080', /^f: \$\.daemon\.callerPort: found "8080"; allowed: a value of type (number|int)$/],
	['an unknown kind of pool', ['pools', 1, 'kind'], 'queue', /^f: \$\.pools\[1]\.kind: found "queue"; allowed: .*engine.*service/],
	['an unknown fencing value', ['pools', 0, 'fencing'], 'yes', /^f: \$\.pools\[0]\.fencing: found "yes"; allowed: .*checked.*ignored/],
	['an unknown availability zone', ['daemon', 'availabilityZone'], 'konya-b', /^f: \$\.daemon\.availabilityZone: found "konya-b"; allowed: konya-a$/],
	['one port used twice', ['daemon', 'peerPort'], 8080, /^f: \$\.daemon\.peerPort: found 8080; allowed: a port other than callerPort$/],
	['a pool named twice', ['pools', 1, 'name'], 'kalip-llm', /^f: \$\.pools\[1]\.name: found "kalip-llm" again; allowed: .*\$\.pools\[0]$/],
	['a model named twice', ['pools', 0, 'models'], ['fitting-notes', 'fitting-notes'], /^f: \$\.pools\[0]\.models\[1]: found "fitting-notes" again/],
	['a trainer of an unknown pool', ['trainers', 0, 'pool'], 'uye-portal', /^f: \$\.trainers\[0]\.pool: found "uye-portal"; allowed: an engine pool: kalip-llm$/],
	['a trainer of an unknown model', ['trainers', 0, 'model'], 'lasts', /^f: \$\.trainers\[0]\.model: found "lasts"; allowed: a model of pool kalip-llm: fitting-notes$/],
	['a trainer of an unknown scoring service', ['trainers', 0, 'scoring'], 'judge', /^f: \$\.trainers\[0]\.scoring: found "judge"; allowed: a scoring service: rater$/],
	['trainers without a weight store', ['weightStore'], undefined, /^f: \$\.weightStore: found nothing; allowed: a weight store/],
	['a lease that expires before its renewal', ['leases'], {durationMs: 3000}, /^f: \$\.leases\.durationMs: found 3000; allowed: more than renewMs \+ marginMs, which is 3000$/],
	['a suspicion time that is not less than the death time', ['membership'], {suspectAfterMs: 6000}, /^f: \$\.membership\.suspectAfterMs: found 6000; allowed: less than deadAfterMs, which is 6000$/],
	['a share that expires before its renewal', ['limits'], {shareMs: 1000}, /^f: \$\.limits\.renewMs: found 1000; allowed: less than shareMs, which is 1000$/],
	['a weight store share over one', ['weights'], {waveShare: 2}, /^f: \$\.weights\.waveShare: found 2; allowed: .*<=1/],
];

test('accepts a valid document and fills in defaults', () => {
	assert.is(checkSettings(valid)._unsafeUnwrap().leases.shards, 32);
});

broken.forEach(([name, segments, value, expected]) => {
	test(`rejects ${name} with one line that states the path and the allowed values`, () => {
		const problems = checkSettings(breakAt(segments, value))._unsafeUnwrapErr();
		assert.is(problems.length, 1);
		assert.match(problems.map(problem => formatProblem('f', problem)).join('\n'), expected);
	});
});

test('reports all problems of a file together', () => {
	const problems = checkSettings({...valid, store: {}, trainers: 'none'})._unsafeUnwrapErr();
	assert.equal(problems.map(problem => problem.path), ['$.store.url', '$.trainers']);
});

test('reports the line and column of a syntax error, and the read error of a missing file', async () => {
	const folder = await mkdtemp(path.join(tmpdir(), 'settings-'));
	const file = path.join(folder, 'settings.json');
	await writeFile(file, '{\n\t"daemon": {,}\n}');
	const syntax = await readSettings(file);
	const missing = await readSettings(path.join(folder, 'other.json'));
	await rm(folder, {recursive: true});
	assert.match(syntax._unsafeUnwrapErr()[0]?.message ?? '', /^not JSON at line 2, column 13/);
	assert.match(missing._unsafeUnwrapErr()[0]?.message ?? '', /^cannot be read: ENOENT/);
});

test.run();
