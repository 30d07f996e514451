/** A client that reads resumable streams over a link of limited speed, and takes a stream up at another daemon when its connection breaks. */
import {Buffer} from 'node:buffer';
import {request} from 'node:http';
import {connect, createServer, type Socket} from 'node:net';
import {
	HOST, sleep, type Address, type Daemon, type RecordLine,
} from './fleet.js';

/** The link from the clients to one daemon. */
export type ClientLink = {
	readonly address: Address;
	/** Resets a share of the open connections, on both sides. */
	readonly reset: (share: number) => number;
	readonly close: () => void;
};

const TICK_MS = 25;

/** Opens a link that passes the daemon's bytes on at `bytesPerSecond` for each connection, as a client that reads slowly takes them. */
export async function openClientLink(ip: string, target: Address, bytesPerSecond: number): Promise<ClientLink> {
	const pairs = new Set<{readonly client: Socket; readonly daemon: Socket}>();
	const server = createServer({noDelay: true}, client => {
		const daemon = connect(target.port, target.ip);
		const pair = {client, daemon};
		let held = Buffer.alloc(0);
		let hasEnded = false;
		pairs.add(pair);
		const finish = (): void => {
			clearInterval(timer);
			pairs.delete(pair);
			client.destroy();
			daemon.destroy();
		};

		const timer = setInterval(() => {
			const due = held.subarray(0, Math.ceil(bytesPerSecond * TICK_MS / 1000));
			held = held.subarray(due.length);
			if (due.length > 0) {
				client.write(due);
			} else if (hasEnded) {
				clearInterval(timer);
				pairs.delete(pair);
				client.end();
			}
		}, TICK_MS);
		client.on('data', chunk => {
			daemon.write(chunk);
		});
		daemon.on('data', chunk => {
			held = Buffer.concat([held, chunk]);
		});
		daemon.on('end', () => {
			hasEnded = true;
		});
		client.on('error', finish);
		daemon.on('error', finish);
		client.on('close', finish);
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, ip, resolve);
	});
	const address = server.address();
	return {
		address: {ip, port: typeof address === 'object' && address !== null ? address.port : 0},
		reset(share) {
			const chosen = [...pairs].slice(0, Math.ceil(pairs.size * share));
			chosen.forEach(({client, daemon}) => {
				client.resetAndDestroy();
				daemon.resetAndDestroy();
			});
			return chosen.length;
		},
		close() {
			server.close();
			pairs.forEach(({client, daemon}) => {
				client.destroy();
				daemon.destroy();
			});
		},
	};
}

/** What a client has received of one stream, over all its tries. */
export type ReceivedStream = {
	readonly name: string;
	/** The data of the events, in order. */
	readonly events: readonly string[];
	readonly tries: number;
	readonly isComplete: boolean;
};

export type LinkedDaemon = Daemon & {readonly link: ClientLink};

type Answer = {readonly status: number; readonly body: string; readonly isComplete: boolean};

async function send({address}: ClientLink, path: string, headers: Readonly<Record<string, string>>): Promise<Answer> {
	return new Promise(resolve => {
		let status = 0;
		let body = '';
		const call = request({
			host: address.ip, port: address.port, method: 'POST', path, agent: false, headers: {Host: HOST, 'content-length': '2', ...headers},
		}, response => {
			status = response.statusCode ?? 0;
			response.setEncoding('utf8');
			response.on('data', (text: string) => {
				body += text;
			});
			response.on('close', () => {
				resolve({status, body, isComplete: response.complete});
			});
			response.on('error', () => undefined);
		});
		call.on('error', () => {
			resolve({status, body, isComplete: false});
		});
		call.end('{}');
	});
}

function listEvents(body: string): readonly string[] {
	return body.slice(0, body.lastIndexOf('\n\n') + 1).split('\n').filter(line => line.startsWith('data: ')).map(line => line.slice('data: '.length));
}

/** Reads a stream. After a broken connection, and after a refusal, it goes on at the next daemon. */
export async function readStream(name: string, daemons: readonly LinkedDaemon[], first: number, record: (line: RecordLine) => void): Promise<ReceivedStream> {
	const deadline = Date.now() + 10_000;
	let events: readonly string[] = [];
	let firstAttemptId: string | undefined;
	let tries = 0;
	while (Date.now() < deadline && tries < 4) {
		const daemon = daemons[(first + tries) % daemons.length]!;
		tries += 1;
		const attemptId = `${name}-${tries}`;
		const after = events.length;
		const resumption: Record<string, string> = after > 0 && firstAttemptId !== undefined ? {'Last-Event-Id': String(after), Resumes: firstAttemptId} : {};
		record({
			what: 'sent', attemptId, daemon: daemon.name, ...resumption,
		});
		const answer = await send(daemon.link, `/stream/${name}`, {'Attempt-Id': attemptId, 'Deadline-Ms': String(deadline - Date.now()), ...resumption});
		const received = answer.status === 200 ? listEvents(answer.body) : [];
		firstAttemptId = after === 0 && received.length > 0 ? attemptId : firstAttemptId;
		events = [...events, ...received];
		record({
			what: 'answered', attemptId, status: answer.status, isComplete: answer.isComplete, events: received.length, softwareVersions: [...new Set(received.map(data => data.split(' ', 1)[0]))],
		});
		if (answer.status === 200 && answer.isComplete) {
			return {
				name, events, tries, isComplete: true,
			};
		}

		await sleep(100);
	}

	return {
		name, events, tries, isComplete: false,
	};
}

/** The streams with events of several software versions. */
export function listMixed(streams: readonly ReceivedStream[]): readonly ReceivedStream[] {
	return streams.filter(({events}) => new Set(events.map(data => data.split(' ', 1)[0])).size > 1);
}
