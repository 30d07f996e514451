/** Metrics as StatsD datagrams over UDP. Nobody needs to listen: errors of the socket are dropped. */
import {StatsD} from 'hot-shots';
import type {Disposable} from '../../base/common/disposable.js';
import type {Metrics, Tags} from '../common/metrics.js';

/** Where measurements are sent. */
export type StatsdTarget = {
	readonly host: string;
	readonly port: number;
	/** Precedes every name. */
	readonly prefix: string;
	/** Tags of every measurement. */
	readonly tags: Tags;
};

/** Metrics that hold a socket until they are disposed. */
export type StatsdMetrics = Metrics & Disposable;

/** Largest datagram, below the usual MTU of 1,500 bytes with its headers. */
const DATAGRAM_BYTES = 1400;
const FLUSH_MS = 1000;

const ignore = () => undefined;

/** Creates metrics that send to a StatsD server. */
export function createStatsdMetrics(target: StatsdTarget): StatsdMetrics {
	const client = new StatsD({
		host: target.host,
		port: target.port,
		prefix: target.prefix,
		globalTags: {...target.tags},
		maxBufferSize: DATAGRAM_BYTES,
		bufferFlushInterval: FLUSH_MS,
		errorHandler: ignore,
		includeDataDogTags: false,
	});
	return {
		count(name, value = 1, tags = {}) {
			client.increment(name, value, {...tags});
		},
		gauge(name, value, tags = {}) {
			client.gauge(name, value, {...tags});
		},
		timing(name, durationMs, tags = {}) {
			client.timing(name, durationMs, {...tags});
		},
		dispose() {
			client.close(ignore);
		},
	};
}
