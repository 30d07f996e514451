/** What all stand-ins share: a plain HTTP server with faults set by `POST /faults` and a record read by `GET /record`. */
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {text} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';

/** Faults that a stand-in can be told to have; each stand-in looks at those that concern it. */
export const faultsSchema = z.strictObject({
	/** Breaks every connection off without an answer. */
	down: z.boolean().default(false),
	/** Refuses all work with a "not run" answer, as a server that is leaving does. */
	refusing: z.boolean().default(false),
	/** Delay before each call is looked at. */
	slowMs: z.number().default(0),
	/** Number of calls whose effect happens and whose answer is lost. */
	lostAnswers: z.int().default(0),
	/** Watches skip changes. */
	watchGap: z.boolean().default(false),
	/** Age of load reports, or of the VM list. */
	lagMs: z.number().default(0),
	/** A request that contains this text crashes the stand-in. */
	crashMarker: z.string().default(''),
	/** Time for which a crashed stand-in refuses connections. */
	crashMs: z.number().default(1000),
	/** What becomes of an order to load a version. */
	swap: z.enum(['works', 'stays', 'unexpected']).default('works'),
	/** Old fencing numbers are accepted. */
	ignoreFencing: z.boolean().default(false),
});

/** The faults in force. */
export type Faults = z.output<typeof faultsSchema>;

/** A request whose body has been read whole. */
export type StandinRequest = {
	/** Method and path without query, such as `GET /vms`. */
	readonly route: string;
	readonly parts: readonly string[];
	readonly query: URLSearchParams;
	readonly body: string;
	readonly raw: IncomingMessage;
	readonly response: ServerResponse;
};

/** An answer; undefined when the handler has written the response itself. */
export type Reply = {
	readonly status?: number;
	readonly headers?: Readonly<Record<string, string>>;
	readonly json: unknown;
} | undefined;

/** A listening stand-in. */
export type Listening = {
	readonly address: string;
	readonly port: number;
	readonly dispose: () => void;
};

/** A stand-in. */
export type Standin = {
	readonly listen: (at: {readonly address: string; readonly port: number}) => Promise<Listening>;
	readonly setFaults: (faults: z.input<typeof faultsSchema>) => void;
	readonly faults: () => Faults;
	/** Breaks all connections off and refuses new ones for a while. */
	readonly crash: () => void;
	/** Time since the start, or since the end of the last crash, in milliseconds. */
	readonly uptimeMs: () => number;
	/** What the stand-in saw at its edge. */
	readonly record: () => unknown;
};

/** What a stand-in is made of. */
export type StandinParts = {
	readonly handle: (request: StandinRequest) => Promise<Reply> | Reply;
	readonly record: () => unknown;
	readonly onCrash?: () => void;
};

const NOT_MODIFIED = 304;

/** The reply of a server that did nothing. */
export const notRunReply: Reply = {status: 503, headers: {'x-not-run': 'true', 'retry-after': '1'}, json: {code: 'refusing'}};

async function readRequest(raw: IncomingMessage, response: ServerResponse): Promise<StandinRequest> {
	const url = new URL(raw.url ?? '/', 'http://standin');
	return {
		route: `${raw.method} ${url.pathname}`,
		parts: url.pathname.split('/').slice(1).map(decodeURIComponent),
		query: url.searchParams,
		body: await text(raw),
		raw,
		response,
	};
}

function send(response: ServerResponse, reply: NonNullable<Reply>): void {
	if (reply.status === NOT_MODIFIED) {
		response.writeHead(NOT_MODIFIED, reply.headers).end();
		return;
	}

	const body = JSON.stringify(reply.json);
	response.writeHead(reply.status ?? 200, {'content-type': 'application/json', 'content-length': new TextEncoder().encode(body).length, ...reply.headers});
	response.end(body);
}

/** Creates a stand-in. */
export function createStandin(parts: StandinParts): Standin {
	let faults = faultsSchema.parse({});
	let startedAt = Date.now();
	let address: {readonly address: string; readonly port: number} | undefined;
	const server = createServer();

	function crash(): void {
		parts.onCrash?.();
		startedAt = Date.now() + faults.crashMs;
		server.close();
		server.closeAllConnections();
		setTimeout(() => {
			if (address) {
				server.listen(address.port, address.address);
			}
		}, faults.crashMs);
	}

	function control(request: StandinRequest): Reply {
		if (request.route === 'POST /faults') {
			faults = faultsSchema.parse({...faults, ...z.record(z.string(), z.unknown()).parse(JSON.parse(request.body))});
			return {json: faults};
		}

		return request.route === 'GET /record' ? {json: parts.record()} : undefined;
	}

	async function work(request: StandinRequest): Promise<void> {
		const losing = faults.lostAnswers > 0 && !request.route.startsWith('GET');
		if (losing) {
			faults = {...faults, lostAnswers: faults.lostAnswers - 1};
		}

		if (faults.slowMs > 0) {
			await sleep(faults.slowMs);
		}

		const reply = faults.refusing && !request.route.startsWith('GET') ? notRunReply : await parts.handle(request);
		if (losing) {
			request.raw.socket.destroy();
			return;
		}

		if (reply) {
			send(request.response, reply);
		}
	}

	async function serve(raw: IncomingMessage, response: ServerResponse): Promise<void> {
		try {
			const request = await readRequest(raw, response);
			const controlled = control(request);
			if (controlled) {
				send(response, controlled);
				return;
			}

			if (faults.down) {
				raw.socket.destroy();
				return;
			}

			await work(request);
		} catch (error) {
			// A malformed request, or a caller that went away.
			if (response.headersSent || raw.socket.destroyed) {
				response.destroy();
				return;
			}

			send(response, {status: 400, json: {code: 'invalid', message: String(error)}});
		}
	}

	server.on('request', (raw, response) => {
		void serve(raw, response);
	});

	return {
		crash,
		uptimeMs: () => Date.now() - startedAt,
		faults: () => faults,
		setFaults(changed) {
			faults = faultsSchema.parse({...faults, ...changed});
		},
		record: parts.record,
		async listen(at) {
			return new Promise((resolve, reject) => {
				server.once('error', reject);
				server.listen(at.port, at.address, () => {
					const bound = server.address();
					const port = bound !== null && typeof bound === 'object' ? bound.port : at.port;
					address = {address: at.address, port};
					resolve({
						...address,
						dispose() {
							address = undefined;
							server.close();
							server.closeAllConnections();
						},
					});
				});
			});
		},
	};
}
