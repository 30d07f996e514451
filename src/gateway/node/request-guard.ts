/** Determines which requests of callers ran on servers that crashed, and refuses those under which several did. */
import {ok} from 'neverthrow';
import type {Clock} from '../../base/common/clock.js';
import type {Log} from '../../kernel/common/log.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {Metrics} from '../../kernel/common/metrics.js';
import type {SuspectTable} from '../../requests/common/suspect-table.js';
import type {SuspectLedger} from '../../requests/node/suspect-ledger.js';
import type {GuardedRequest, RequestGuard} from '../common/request-guard.js';
import {keyOfRun, type ServerRun} from '../common/server-run.js';
import type {CrashDetector} from './crash-detector.js';

/** Dependencies of the guard. */
export type RequestGuardDependencies = {
	readonly detector: CrashDetector;
	readonly table: Pick<SuspectTable, 'find' | 'isEmpty'>;
	readonly ledger: SuspectLedger;
	readonly clock: Clock;
	readonly loop: Loop;
	readonly log: Log;
	readonly metrics: Metrics;
};

/** Time for which the next attempt of a request waits to learn whether its server crashed. */
const VERDICT_WAIT_MS = 100;

/** How an attempt ended whose server may have crashed. */
type SuspectEnd = 'broken' | 'silent' | 'open';

/** Creates the guard of a daemon. */
export function createRequestGuard({
	detector, table, ledger, clock, loop, log, metrics,
}: RequestGuardDependencies): RequestGuard {
	function recordVerdict(requestId: string, fingerprint: string, run: ServerRun, verdict: {readonly end: SuspectEnd; readonly hasCrashed: boolean}): void {
		const {end, hasCrashed} = verdict;
		log.info(hasCrashed ? 'request broke with its server' : (end === 'silent' ? 'request got no response' : 'request lost its connection'), {
			requestId, fingerprint, ...run, end,
		});
		metrics.count('request.broken', 1, {verdict: hasCrashed ? 'crash' : 'connection', end});
		if (!hasCrashed) {
			return;
		}

		const now = clock.monotonic();
		const serverId = keyOfRun(run);
		const crashedUnder = new Set([serverId, ...table.find(fingerprint).map(crash => crash.serverId)]);
		void ledger.recordCrash({
			fingerprint,
			// Daemons that notice the same crash give it the same id.
			crashId: `${fingerprint}/${serverId}`,
			serverId,
			at: 0,
			alone: false,
			acquitted: false,
			isCommon: detector.listRecentCrashes(run, now).some(other => !crashedUnder.has(other)),
		}, now);
	}

	async function recordBroken(requestId: string, fingerprint: string, run: ServerRun): Promise<void> {
		const {first, final} = detector.inspect(run, 'broken');
		if (await first) {
			recordVerdict(requestId, fingerprint, run, {end: 'broken', hasCrashed: true});
			return;
		}

		void final.then(hasCrashed => {
			recordVerdict(requestId, fingerprint, run, {end: 'broken', hasCrashed});
		});
	}

	/** Blames a request that got no response if its server has crashed, unless the server completed another response after the request had ended. */
	async function recordSilent(requestId: string, fingerprint: string, run: ServerRun): Promise<void> {
		const endedAt = clock.wall();
		const {first, final} = detector.inspect(run, 'silent');
		const hasCrashed = await first || await final;
		recordVerdict(requestId, fingerprint, run, {end: 'silent', hasCrashed: hasCrashed && !detector.wasAliveAfter(run, endedAt)});
	}

	/** Blames a request that is still open when entries show that its server has crashed. */
	function watchOpen({requestId, fingerprint}: GuardedRequest, run: ServerRun) {
		return fingerprint === undefined
			? undefined
			: detector.watch(run, () => {
				recordVerdict(requestId, fingerprint(), run, {end: 'open', hasCrashed: true});
			});
	}

	return {
		check(request, now) {
			return request.fingerprint === undefined || table.isEmpty()
				? ok()
				: ledger.check(request.fingerprint(), now).map(() => undefined);
		},
		begin(request, serverId) {
			const run = detector.currentRun(serverId);
			const watch = watchOpen(request, run);
			return async outcome => {
				watch?.dispose();
				const {fingerprint, requestId} = request;
				if (outcome === 'completed') {
					detector.recordAlive(run);
				}

				if (fingerprint === undefined) {
					return;
				}

				if (outcome === 'completed' && !table.isEmpty()) {
					ledger.recordCompleted(fingerprint(), clock.monotonic());
				}

				if (outcome === 'silent') {
					void recordSilent(requestId, fingerprint(), run);
				}

				if (outcome === 'broken') {
					await Promise.race([recordBroken(requestId, fingerprint(), run), loop.sleep(VERDICT_WAIT_MS)]);
				}
			};
		},
	};
}
