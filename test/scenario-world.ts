/** Starts the processes of a scenario: stand-ins and three daemons, each in its own process on a loopback address. */
import {type ChildProcess, spawn} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {hashToHex} from '../src/base/common/hash.js';
import {readText} from '../src/adapters/node/http-responses.js';
import {createHttpClient} from '../src/adapters/node/http-client.js';
import {createRelay, type Relay} from './scenario-relay.js';

/** A process of the scenario. */
export type Member = {
	readonly url: string;
	/** The `address:port` at which daemons call it. */
	readonly endpoint: string;
	readonly start: () => void;
	readonly signal: (name: 'SIGKILL' | 'SIGSTOP' | 'SIGCONT' | 'SIGTERM') => void;
	/** Resolves with the exit code once the process has ended; undefined when a signal ended it. */
	readonly ended: () => Promise<number | undefined>;
	readonly log: () => string;
};

/** The processes by name; daemons are `entry-1` to `entry-3`. */
export type World = {
	readonly members: ReadonlyMap<string, Member>;
	/** The relay for the connections of the daemons; undefined when the scenario cuts no links. */
	readonly relay: Relay | undefined;
	readonly dispose: () => Promise<void>;
};

/** Keys of the scenario's customer and operator. */
export const customerKey = 'scenario-customer';
export const operatorKey = 'scenario-operator';
export const daemonNames = ['entry-1', 'entry-2', 'entry-3'] as const;

const root = path.resolve(import.meta.dirname, '..');
const STANDIN_ADDRESS = '127.0.0.10';
const FIRST_PORT = 20_000;
const PORTS_PER_BLOCK = 25;
const BLOCK_COUNT = 40;
const availabilityZones = ['attica-pireas', 'attica-marousi', 'macedonia-kalamaria'] as const;

/** Whether nothing listens on a port; processes of a run that was killed may be left over. */
async function isFree(host: string, port: number): Promise<boolean> {
	return new Promise(resolve => {
		const probe = createServer();
		probe.once('error', () => {
			resolve(false);
		});
		probe.listen(port, host, () => {
			probe.close(() => {
				resolve(true);
			});
		});
	});
}

async function areBlockPortsFree(base: number): Promise<boolean> {
	const standinPorts = Array.from({length: 9}, async (_, index) => isFree(STANDIN_ADDRESS, base + 1 + index));
	const daemonPorts = daemonNames.flatMap((_, index) => [11, 15].map(async offset => isFree(`127.0.0.${11 + index}`, base + offset + index)));
	const free = await Promise.all([...standinPorts, ...daemonPorts]);
	return free.every(Boolean);
}

/** Reserves a block of ports by listening on its first one. */
async function reservePorts(block = process.pid % BLOCK_COUNT): Promise<{readonly base: number; readonly release: () => void}> {
	const base = FIRST_PORT + (block * PORTS_PER_BLOCK);
	const lock = createServer();
	const reserved = await new Promise<boolean>(resolve => {
		lock.once('error', () => {
			resolve(false);
		});
		lock.listen(base, '127.0.0.1', () => {
			resolve(true);
		});
	});
	if (reserved && !await areBlockPortsFree(base)) {
		lock.close();
		return reservePorts((block + 1) % BLOCK_COUNT);
	}

	return reserved
		? {
			base, release() {
				lock.close();
			},
		}
		: reservePorts((block + 1) % BLOCK_COUNT);
}

function createMember(url: string, args: readonly string[], endpoint = url.replace('http://', ''), environment: NodeJS.ProcessEnv = {}): Member {
	const chunks: string[] = [];
	let child: ChildProcess | undefined;
	return {
		url,
		endpoint,
		start() {
			child = spawn(process.execPath, ['--import', 'tsx', ...args], {cwd: root, stdio: ['ignore', 'pipe', 'pipe'], env: {...process.env, ...environment}});
			[child.stdout, child.stderr].forEach(stream => {
				stream?.on('data', chunk => {
					chunks.push(String(chunk));
				});
			});
		},
		signal(name) {
			child?.kill(name);
		},
		async ended() {
			return new Promise<number | undefined>(resolve => {
				const isRunning = child?.exitCode === null && child.signalCode === null;
				if (!isRunning) {
					resolve(child?.exitCode ?? undefined);
					return;
				}

				child?.once('exit', code => {
					resolve(code ?? undefined);
				});
			});
		},
		log: () => chunks.join(''),
	};
}

/** Calls a member and returns the parsed JSON response; throws without a response or when its status is above 299. */
export async function callMember(member: Member, route: string, json?: unknown, key?: string): Promise<unknown> {
	const [method = 'GET', path = '/'] = route.split(' ');
	const answer = await createHttpClient(member.url).call({
		step: route, method, path, timeoutMs: 10_000,
		headers: {'content-type': 'application/json', ...(key && {authorization: `Bearer ${key}`})}, ...(json !== undefined && {body: JSON.stringify(json)}),
	});
	if (answer.isErr() || answer.value.status > 299) {
		throw new Error(`${route} at ${member.url}: ${answer.isErr() ? answer.error.message : readText(answer.value)}`);
	}

	return JSON.parse(readText(answer.value));
}

/** Polls until a condition holds; an exception counts as not yet. Throws after `limitMs`, which is long because it only ends scenarios that hang. */
export async function waitUntil(what: string, condition: () => Promise<boolean>, limitMs = 60_000): Promise<void> {
	const until = Date.now() + limitMs;
	const holds = async (): Promise<boolean> => {
		try {
			return await condition();
		} catch {
			return false;
		}
	};

	while (!await holds()) {
		if (Date.now() > until) {
			throw new Error(`condition not met in time: ${what}`);
		}

		await sleep(50);
	}
}

/** Starts all processes. `overrides` replaces sections of the daemons' settings. With `relayed`, their connections go through a relay that can cut them. */
export async function startWorld(overrides: Readonly<Record<string, unknown>>, engineOptions: Readonly<Record<string, unknown>>, usesRelay: boolean): Promise<World> {
	const {base, release} = await reservePorts();
	const folder = mkdtempSync(path.join(tmpdir(), 'rosemaryshore-scenario-'));
	const members = new Map<string, Member>();
	const address = STANDIN_ADDRESS;
	const relay = usesRelay ? createRelay(base + 19) : undefined;
	const urlOf = (offset: number) => `http://${address}:${base + offset}`;

	function addStandin(name: string, kind: string, offset: number, options: unknown): void {
		members.set(name, createMember(urlOf(offset), ['src/standins/node/main.ts', '--kind', kind, '--address', address, '--port', String(base + offset), '--options', JSON.stringify(options)]));
	}

	const backends = ['engine-1', 'engine-2', 'engine-3', 'worker-1', 'worker-2'].map((id, index) => ({
		id, address, port: base + 5 + index, availabilityZone: availabilityZones[index % availabilityZones.length], state: 'live', pool: id.startsWith('engine') ? 'diag-models' : 'rounds-app',
	}));
	const entries = daemonNames.map((id, index) => ({
		id, address: `127.0.0.${11 + index}`, callerPort: base + 11 + index, peerPort: base + 15 + index, availabilityZone: availabilityZones[index],
	}));
	const vms = [...backends, ...entries.map(({callerPort, peerPort, ...entry}) => ({
		...entry, port: peerPort, state: 'live', pool: 'entry',
	}))];
	addStandin('store', 'store', 1, {});
	addStandin('vm-list', 'vm-list', 2, {vms});
	addStandin('weight-store', 'weight-store', 3, {models: {diag: 1}, concurrentFetches: 2, fetchMs: 50});
	addStandin('scorer', 'scorer', 4, {});
	backends.forEach((backend, index) => {
		const engine = {
			id: backend.id, models: {diag: 1}, fencing: index === 2 ? 'ignored' : 'checked', slots: 8, tokenMs: 10, chunkTokens: 4, loadMs: 100, weightStoreUrl: urlOf(3), ...engineOptions,
		};
		addStandin(backend.id, backend.id.startsWith('engine') ? 'engine' : 'service', 5 + index, backend.id.startsWith('engine') ? engine : {id: backend.id, slots: 8, workMs: 50});
	});
	entries.forEach(entry => {
		const file = path.join(folder, `${entry.id}.json`);
		writeFileSync(file, JSON.stringify({
			daemon: entry,
			availabilityZones: availabilityZones.map(name => ({name, region: name.startsWith('attica') ? 'attica' : 'macedonia'})),
			seeds: entries.filter(other => other.id !== entry.id).map(other => ({address: other.address, peerPort: other.peerPort})),
			store: {url: urlOf(1)},
			vmList: {url: urlOf(2)},
			weightStore: {url: urlOf(3)},
			pools: [
				{
					name: 'diag-models', kind: 'engine', models: ['diag'], fencing: 'ignored', slots: 8,
				},
				{name: 'rounds-app', kind: 'service', operations: [{path: '/patterns', method: 'POST', idempotent: true}]},
			],
			scoring: [{name: 'rater', url: urlOf(4)}],
			trainers: [{
				name: 'diag-trainer', pool: 'diag-models', model: 'diag', scoring: 'rater', stalenessBound: 1,
			}],
			operatorKeys: [hashToHex(operatorKey)],
			leases: {
				shards: 8, durationMs: 3000, renewMs: 700, marginMs: 500,
			},
			log: {level: 'info'},
			...overrides,
		}));
		members.set(entry.id, createMember(
			`http://${entry.address}:${entry.callerPort}`,
			[...(usesRelay ? ['--import', './test/scenario-redirect.ts'] : []), 'src/code/node/main.ts', 'serve', '--settings', file],
			`${entry.address}:${entry.peerPort}`,
			{SCENARIO_RELAY_PORT: String(base + 19), SCENARIO_MEMBER: entry.id},
		));
	});
	[...members.values()].forEach(member => {
		member.start();
	});
	return {
		members,
		relay,
		async dispose() {
			await Promise.all([...members.values()].map(async member => {
				member.signal('SIGKILL');
				await member.ended();
			}));
			relay?.dispose();
			release();
			rmSync(folder, {recursive: true, force: true});
		},
	};
}
