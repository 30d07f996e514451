/** Base of all stand-ins: an HTTP server whose faults are set by `POST /faults` and whose record is read by `GET /record`. */
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {text} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';

/** Faults that can be injected into a stand-in; each stand-in ignores those that do not apply to it. Times in milliseconds. */
export const faultsSchema = z.strictObject({
	/** Closes every connection without a response. */
	down: z.boolean().default(false),
	/** Refuses all calls except GET with a "not run" response, as a server that is shutting down does. */
	refusing: z.boolean().default(false),
	/** Delay before each call is processed. */
	slowMs: z.number().default(0),
	/** Number of calls that take effect, but whose response is lost. Applies to calls other than GET. */
	lostAnswers: z.int().default(0),
	/** Watches return no changes. */
	watchGap: z.boolean().default(false),
	/** Delay with which load reports and the VM list show changes. */
	lagMs: z.number().default(0),
	/** A request that contains this text crashes the stand-in. */
	crashMarker: z.string().default(''),
	/** Time during which a crashed stand-in refuses connections. */
	crashMs: z.number().default(1000),
	/** Result of an order to load a version: the version is loaded, the load fails, or the model serves another version. */
	swap: z.enum(['works', 'stays', 'unexpected']).default('works'),
	/** Accepts orders with outdated fencing numbers. */
	ignoreFencing: z.boolean().default(false),
});

/** The current faults. */
export type Faults = z.output<typeof faultsSchema>;

/** A request whose body has been read completely. */
export type StandinRequest = {
	/** Method and path without query, such as `GET /vms`. */
	readonly route: string;
	/** Decoded segments of the path. */
	readonly pathSegments: readonly string[];
	readonly query: URLSearchParams;
	readonly body: string;
	readonly raw: IncomingMessage;
	readonly response: ServerResponse;
};

/** The response to send; undefined if the handler has already written the response itself. */
export type Reply = {
	readonly status?: number;
	readonly headers?: Readonly<Record<string, string>>;
	readonly json: unknown;
} | undefined;

/** A stand-in that is listening. */
export type ListeningStandin = {
	readonly address: string;
	readonly port: number;
	readonly dispose: () => void;
};

/** A stand-in for a service outside the daemon. */
export type Standin = {
	readonly listen: (at: {readonly address: string; readonly port: number}) => Promise<ListeningStandin>;
	readonly setFaults: (faults: z.input<typeof faultsSchema>) => void;
	readonly faults: () => Faults;
	/** Closes all connections and refuses new ones for the time `crashMs` of the faults. */
	readonly crash: () => void;
	/** Milliseconds since the start, or since the end of the last crash; negative during a crash. */
	readonly uptimeMs: () => number;
	/** Record of the calls that the stand-in received, and of their effects. */
	readonly record: () => unknown;
};

/** Behaviour of a stand-in. */
export type StandinOptions = {
	readonly handle: (request: StandinRequest) => Promise<Reply> | Reply;
	readonly record: () => unknown;
	readonly onCrash?: () => void;
};

const HTTP_NOT_MODIFIED = 304;

/** The reply of a server that did not run the request. */
export const notRunReply: Reply = {status: 503, headers: {'x-not-run': 'true', 'retry-after': '1'}, json: {code: 'refusing'}};

async function readRequest(raw: IncomingMessage, response: ServerResponse): Promise<StandinRequest> {
	const url = new URL(raw.url ?? '/', 'http://standin');
	return {
		route: `${raw.method} ${url.pathname}`,
		pathSegments: url.pathname.split('/').slice(1).map(decodeURIComponent),
		query: url.searchParams,
		body: await text(raw),
		raw,
		response,
	};
}

function send(response: ServerResponse, reply: NonNullable<Reply>): void {
	if (reply.status === HTTP_NOT_MODIFIED) {
		response.writeHead(HTTP_NOT_MODIFIED, reply.headers).end();
		return;
	}

	const body = JSON.stringify(reply.json);
	response.writeHead(reply.status ?? 200, {'content-type': 'application/json', 'content-length': new TextEncoder().encode(body).length, ...reply.headers});
	response.end(body);
}

/** Creates a stand-in with the given behaviour. */
export function createStandin(options: StandinOptions): Standin {
	let faults = faultsSchema.parse({});
	let startedAt = Date.now();
	let address: {readonly address: string; readonly port: number} | undefined;
	const server = createServer();

	function crash(): void {
		options.onCrash?.();
		startedAt = Date.now() + faults.crashMs;
		server.close();
		server.closeAllConnections();
		setTimeout(() => {
			if (address) {
				server.listen(address.port, address.address);
			}
		}, faults.crashMs);
	}

	function handleControlCall(request: StandinRequest): Reply {
		if (request.route === 'POST /faults') {
			faults = faultsSchema.parse({...faults, ...z.record(z.string(), z.unknown()).parse(JSON.parse(request.body))});
			return {json: faults};
		}

		return request.route === 'GET /record' ? {json: options.record()} : undefined;
	}

	async function handleCall(request: StandinRequest): Promise<void> {
		const isResponseLost = faults.lostAnswers > 0 && !request.route.startsWith('GET');
		if (isResponseLost) {
			faults = {...faults, lostAnswers: faults.lostAnswers - 1};
		}

		if (faults.slowMs > 0) {
			await sleep(faults.slowMs);
		}

		const reply = faults.refusing && !request.route.startsWith('GET') ? notRunReply : await options.handle(request);
		if (isResponseLost) {
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
			const controlReply = handleControlCall(request);
			if (controlReply) {
				send(response, controlReply);
				return;
			}

			if (faults.down) {
				raw.socket.destroy();
				return;
			}

			await handleCall(request);
		} catch (error) {
			// The request was malformed, or the caller has disconnected.
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
		record: options.record,
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
