import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {findFreePorts} from '../../base/node/free-ports.js';

const test = suite('command line');

type CommandOutcome = {
	readonly code: number;
	readonly output: string;
	readonly errors: string;
};

const root = path.resolve(import.meta.dirname, '../../..');

function launch(args: readonly string[], cwd = root) {
	const child = spawn(process.execPath, ['--import', import.meta.resolve('tsx'), path.join(root, 'src/code/node/main.ts'), ...args], {cwd});
	const received = {output: '', errors: ''};
	child.stdout.on('data', chunk => {
		received.output += String(chunk);
	});
	child.stderr.on('data', chunk => {
		received.errors += String(chunk);
	});
	const ended = once(child, 'close').then(([code]): CommandOutcome => ({code: Number(code), ...received}));
	return {child, ended};
}

async function run(...args: readonly string[]): Promise<CommandOutcome> {
	return launch(args).ended;
}

async function writeSettings(folder: string, change: Readonly<Record<string, unknown>>): Promise<string> {
	const [callerPort, peerPort] = await findFreePorts('127.0.0.1', 2);
	const file = path.join(folder, 'settings.json');
	await writeFile(file, JSON.stringify({
		daemon: {
			id: 'entry-1', address: '127.0.0.1', callerPort, peerPort, availabilityZone: 'konya-a',
		},
		availabilityZones: [{name: 'konya-a', region: 'ic-anadolu'}],
		store: {kind: 'memory', url: 'http://127.0.0.1:1'},
		vmList: {url: 'http://127.0.0.1:1'},
		pools: [],
		...change,
	}));
	return file;
}

const folder = await mkdtemp(path.join(tmpdir(), 'main-'));
test.after(async () => {
	await rm(folder, {recursive: true});
});

test('--help lists the commands, and a missing command exits with 2', async () => {
	const [help, none] = await Promise.all([run('--help'), run()]);
	assert.is(help.code, 0);
	assert.match(help.output, /rosemaryshore serve/);
	assert.is(none.code, 2);
});

test('--version prints the version of this package in any working directory', async () => {
	const manifest = JSON.parse(await readFile(path.join(root, 'package.json'), 'utf8'));
	const {output} = await launch(['--version'], folder).ended;
	assert.is(output.trim(), manifest.version);
});

test('settings check reports file, path and allowed values, and exits with 2', async () => {
	const file = await writeSettings(folder, {polls: []});
	const [plain, json] = await Promise.all([run('settings', 'check', file), run('settings', 'check', file, '--json')]);
	assert.is(plain.code, 2);
	assert.match(plain.errors, /settings\.json: \$: unknown key "polls"; allowed: /);
	assert.is(json.code, 2);
	assert.is(JSON.parse(json.output).valid, false);
});

test('serve rejects invalid settings and exits with 2', async () => {
	const file = await writeSettings(folder, {pools: 'none'});
	const ended = await run('serve', '--settings', file);
	assert.is(ended.code, 2);
	assert.match(ended.errors, /settings\.json: \$\.pools: found "none"/);
});

test('serve logs JSON lines and exits with 0 on SIGTERM', async () => {
	const file = await writeSettings(folder, {requests: {drainMs: 2000}, metrics: {port: 9}});
	const {child, ended} = launch(['serve', '--settings', file]);
	await once(child.stderr, 'data');
	child.kill('SIGTERM');
	const {code, errors} = await ended;
	assert.is(code, 0);
	const messages = errors.trim().split('\n').map(line => String(JSON.parse(line).message));
	assert.ok(messages.includes('daemon started'));
	assert.is(messages.at(-1), 'daemon stopped');
});

test.run();
