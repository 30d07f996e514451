/** Metrics as text in the Prometheus exposition format, served on a separate port. */
import {
	createServer, type IncomingHttpHeaders, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import {createConnectionTable} from '../../base/common/connection-table.js';
import type {Disposable} from '../../base/common/disposable.js';
import {LIMITED_SERVER_OPTIONS, limitConnections, refuseOverload} from '../../base/node/connection-limits.js';
import type {Metrics, Tags} from '../common/metrics.js';

/** Address and URL path under which the metrics are served. */
export type MetricsAddress = {
	readonly ip: string;
	readonly port: number;
	readonly path: string;
};

/** Metrics that are kept in memory until a scraper reads them. */
export type PrometheusMetrics = Metrics & {
	readonly text: () => Promise<string>;
};

/** Histogram buckets in seconds, from the duration of a store call to that of the longest generation. */
const DURATION_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30];
/** Limits of a scraper's requests. */
const MAXIMUM_HEAD_BYTES = 16_384;
const HEAD_TIMEOUT_MS = 5000;
const PREFIX = 'rosemaryshore_';

function toName(name: string, suffix: string): string {
	return `${PREFIX}${name.replaceAll(/[^a-z\d]+/gi, '_')}${suffix}`;
}

function getOrCreate<T>(known: Map<string, T>, name: string, create: () => T): T {
	const found = known.get(name) ?? create();
	known.set(name, found);
	return found;
}

/** Creates metrics. The first use of a name determines its tag names. */
export function createPrometheusMetrics(): PrometheusMetrics {
	const registry = new Registry();
	const counters = new Map<string, Counter>();
	const gauges = new Map<string, Gauge>();
	const histograms = new Map<string, Histogram>();
	const describe = (name: string, suffix: string, tags: Tags) => ({
		name: toName(name, suffix), help: name, labelNames: Object.keys(tags), registers: [registry],
	});

	return {
		count(name, value = 1, tags = {}) {
			getOrCreate(counters, name, () => new Counter(describe(name, '_total', tags))).inc(tags, value);
		},
		gauge(name, value, tags = {}) {
			getOrCreate(gauges, name, () => new Gauge(describe(name, '', tags))).set(tags, value);
		},
		timing(name, durationMs, tags = {}) {
			getOrCreate(histograms, name, () => new Histogram({...describe(name, '_seconds', tags), buckets: DURATION_BUCKETS})).observe(tags, durationMs / 1000);
		},
		text: async () => registry.metrics(),
	};
}

/** Answers a GET request beside the metrics with a value that is sent as JSON; undefined when the request is malformed. */
export type JsonHandler = (url: URL, headers: IncomingHttpHeaders) => unknown;

/** Answers a request that is not for metrics. */
function serveJson(handler: JsonHandler | undefined, {url = '', headers, method}: IncomingMessage, response: ServerResponse): void {
	if (handler === undefined || method !== 'GET') {
		response.writeHead(handler === undefined ? 404 : 405).end();
		return;
	}

	try {
		const value = handler(new URL(url, 'http://daemon'), headers);
		response.writeHead(value === undefined ? 400 : 200, {'content-type': 'application/json'}).end(JSON.stringify(value ?? null));
	} catch (error) {
		// A request of whatever form must not end the process.
		response.writeHead(500, {'content-type': 'text/plain'}).end(String(error));
	}
}

/** Serves metrics until disposed, and further values by path. */
export async function serveMetrics(metrics: PrometheusMetrics, address: MetricsAddress, handlers: ReadonlyMap<string, JsonHandler> = new Map(), connections = createConnectionTable(Number.POSITIVE_INFINITY)): Promise<Disposable> {
	const server: Server = createServer(LIMITED_SERVER_OPTIONS, (request, response) => {
		if (request.url !== address.path) {
			serveJson(handlers.get(request.url?.split('?', 1)[0] ?? ''), request, response);
			return;
		}

		void metrics.text().then(text => {
			response.writeHead(200, {'content-type': 'text/plain; version=0.0.4; charset=utf-8'}).end(text);
		});
	});
	limitConnections(server, connections, {onOverload: refuseOverload, maximumHeadBytes: () => MAXIMUM_HEAD_BYTES, headTimeoutMs: () => HEAD_TIMEOUT_MS});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen({host: address.ip, port: address.port}, resolve);
	});
	return {
		dispose() {
			server.close();
			server.closeAllConnections();
		},
	};
}
