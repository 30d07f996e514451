/** Determines which requests of callers ran on servers that crashed. */
import type {Clock} from '../../base/common/clock.js';
import type {Log} from '../../kernel/common/log.js';
import type {Metrics} from '../../kernel/common/metrics.js';
import type {RequestGuard} from '../common/request-guard.js';
import type {ServerRun} from '../common/server-run.js';
import type {CrashDetector} from './crash-detector.js';

/** Dependencies of the guard. */
export type RequestGuardDependencies = {
	readonly detector: CrashDetector;
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
};

/** Creates the guard of a daemon. */
export function createRequestGuard({detector, log, metrics}: RequestGuardDependencies): RequestGuard {
	function logVerdict(requestId: string, fingerprint: string, run: ServerRun, hasCrashed: boolean): void {
		log.info(hasCrashed ? 'request broke with its server' : 'request lost its connection', {requestId, fingerprint, ...run});
		metrics.count('request.broken', 1, {verdict: hasCrashed ? 'crash' : 'connection'});
	}

	return {
		begin(request, serverId) {
			const run = detector.currentRun(serverId);
			return async outcome => {
				const fingerprint = outcome === 'broken' ? request.fingerprint?.() : undefined;
				if (fingerprint === undefined) {
					return;
				}

				if (await detector.inspect(run)) {
					logVerdict(request.requestId, fingerprint, run, true);
					return;
				}

				void detector.awaitVerdict(run).then(hasCrashed => {
					logVerdict(request.requestId, fingerprint, run, hasCrashed);
				});
			};
		},
	};
}
