/** The one place that each attempt passes which belongs to work that may end: it is not sent unless what is known of the work is recent enough. */
import {err} from 'neverthrow';
import type {Clock} from '../../base/common/clock.js';
import {createNotRun} from '../../base/common/failure.js';
import type {Log} from '../../kernel/common/log.js';
import type {Metrics} from '../../kernel/common/metrics.js';
import {maySendIn} from '../common/work-status.js';
import type {ServerCaller} from './server-caller.js';

/** Dependencies of the caller. */
export type CheckedCallerDependencies = {
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
};

/** Creates a caller that asks for the state of an attempt's work, and asks again when the connection to the server is ready. */
export function createCheckedCaller(inner: ServerCaller, {clock, log, metrics}: CheckedCallerDependencies): ServerCaller {
	return {
		async attempt(server, request, attempt, options) {
			const {work} = options;
			if (work === undefined) {
				return inner.attempt(server, request, attempt, options);
			}

			const startedAt = clock.monotonic();
			await work.refresh('direct');
			const now = clock.monotonic();
			const state = work.read('direct', now);
			if (!maySendIn(state)) {
				log.info('attempt is not sent', {requestId: attempt.requestId, serverId: server.id, work: state.kind});
				metrics.count('work.send_refused', 1, {state: state.kind});
				return err(createNotRun('aborted', {step: 'call backend server', peer: server.id}, `the work of the request is ${state.kind}`));
			}

			const waitedMs = now - startedAt;
			return inner.attempt(server, request, {...attempt, remainingMs: attempt.remainingMs - waitedMs}, {
				...options, timeoutMs: Math.max(1, options.timeoutMs - waitedMs), maySend: () => maySendIn(work.read('direct', clock.monotonic())),
			});
		},
		close: inner.close,
	};
}
