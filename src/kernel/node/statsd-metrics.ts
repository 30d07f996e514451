/** Metrics as StatsD datagrams over UDP. Socket errors are ignored, so that the daemon does not depend on a StatsD server. */
import {StatsD} from 'hot-shots';
import type {Disposable} from '../../base/common/disposable.js';
import type {Metrics, Tags} from '../common/metrics.js';

/** The StatsD server, and what every measurement contains. */
export type StatsdTarget = {
	readonly host: string;
	readonly port: number;
	/** Prefix of every metric name. */
	readonly prefix: string;
	/** Tags of every measurement. */
	readonly tags: Tags;
};

/** Metrics that use a socket until they are disposed. */
export type StatsdMetrics = Metrics & Disposable;

/** Maximum datagram size, which together with the headers stays below the usual MTU of 1,500 bytes. */
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
