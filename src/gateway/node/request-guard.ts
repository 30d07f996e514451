/** Determines which requests of callers ran on servers that crashed, and refuses those under which several did. */
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import type {Clock} from '../../base/common/clock.js';
import type {Log} from '../../kernel/common/log.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {Metrics} from '../../kernel/common/metrics.js';
import type {SuspectTable} from '../../requests/common/suspect-table.js';
import type {SuspectLedger} from '../../requests/node/suspect-ledger.js';
import {
	openAdmission, type Admission, type GuardedRequest, type RequestGuard,
} from '../common/request-guard.js';
import {keyOfRun, type RunAttempt} from '../common/server-run.js';
import type {AttemptEnd, CrashDetector} from './crash-detector.js';
import type {SuspectExchange} from './suspect-exchange.js';

/** Dependencies of the guard. */
export type RequestGuardDependencies = {
	readonly detector: CrashDetector;
	readonly table: Pick<SuspectTable, 'find' | 'isEmpty' | 'listByServer'>;
	readonly ledger: SuspectLedger;
	readonly trials: Pick<SuspectExchange, 'claimTrial'>;
	readonly clock: Clock;
	readonly loop: Loop;
	readonly log: Log;
	readonly metrics: Metrics;
};

/** Time for which the next attempt of a request waits to learn whether its server crashed. */
const VERDICT_WAIT_MS = 100;
/** Retry-after time for a request that came to be refused while it waited for a server, in milliseconds. */
const RETRY_AFTER_MS = 1000;

/** Creates the guard of a daemon. */
export function createRequestGuard({
	detector, table, ledger, trials, clock, loop, log, metrics,
}: RequestGuardDependencies): RequestGuard {
	function recordVerdict(requestId: string, fingerprint: string, run: RunAttempt, verdict: {readonly end: AttemptEnd; readonly hasCrashed: boolean; readonly trialId: string | undefined}): void {
		const {end, hasCrashed, trialId} = verdict;
		log.info(hasCrashed ? 'request broke with its server' : (end === 'silent' ? 'request got no response' : 'request lost its connection'), {
			requestId, fingerprint, serverId: run.serverId, startedAt: run.startedAt, end,
		});
		metrics.count('request.broken', 1, {verdict: hasCrashed ? 'crash' : 'connection', end});
		if (!hasCrashed) {
			withdrawTrial(trialId);
			return;
		}

		if (trialId !== undefined) {
			// The trial was recorded like a crash before it began.
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

	function withdrawTrial(trialId: string | undefined): void {
		if (trialId !== undefined) {
			ledger.withdraw([trialId], clock.monotonic());
		}
	}

	async function recordBroken(requestId: string, fingerprint: string, run: RunAttempt, trialId: string | undefined): Promise<void> {
		const {first, final} = detector.inspect(run, 'broken');
		if (await first) {
			recordVerdict(requestId, fingerprint, run, {end: 'broken', hasCrashed: true, trialId});
			return;
		}

		void final.then(hasCrashed => {
			recordVerdict(requestId, fingerprint, run, {end: 'broken', hasCrashed, trialId});
		});
	}

	/** Blames a request that got no response if its server has crashed, unless the server completed another response after the request had ended. */
	async function recordSilent(requestId: string, fingerprint: string, run: RunAttempt, trialId: string | undefined): Promise<void> {
		const endedAt = clock.monotonic();
		const {first, final} = detector.inspect(run, 'silent');
		const hasCrashed = await first || await final;
		recordVerdict(requestId, fingerprint, run, {end: 'silent', hasCrashed: hasCrashed && !detector.wasAliveAfter(run, endedAt), trialId});
	}

	/** Blames a request that is still open when entries show that its server has crashed. */
	function watchOpen({requestId, fingerprint}: GuardedRequest, run: RunAttempt, {trialId}: Admission) {
		return fingerprint === undefined
			? undefined
			: detector.watch(run, () => {
				recordVerdict(requestId, fingerprint(), run, {end: 'open', hasCrashed: true, trialId});
			});
	}

	function check({fingerprint}: GuardedRequest, now: number): Result<boolean, Failure> {
		return fingerprint === undefined || table.isEmpty() ? ok(false) : ledger.check(fingerprint(), now).map(isolation => isolation === 'trial');
	}

	detector.onDidWithdraw(run => {
		ledger.withdraw(table.listByServer(keyOfRun(run)).map(({crashId}) => crashId), clock.monotonic());
	});

	return {
		async admit(request) {
			const checked = check(request, clock.monotonic());
			if (checked.isErr() || !checked.value) {
				return checked.map(() => openAdmission);
			}

			const claimed = await trials.claimTrial(request.fingerprint!());
			log.info('trial of a request that was refused', {requestId: request.requestId, fingerprint: request.fingerprint!(), ...claimed.match(trialId => ({trialId}), failure => ({reason: failure.message}))});
			return claimed.map(trialId => ({trialId}));
		},
		confirm(request, {trialId}, now) {
			const checked = trialId === undefined ? check(request, now) : ok(false);
			return checked.andThen(needsTrial => needsTrial
				? err(createNotRun('suspect', {step: 'check suspects', peer: 'self'}, 'backend servers crashed while running this request', RETRY_AFTER_MS))
				: ok());
		},
		cancel({trialId}) {
			withdrawTrial(trialId);
		},
		begin(request, serverId, admission) {
			const {trialId} = admission;
			const run = detector.currentRun(serverId);
			const watch = watchOpen(request, run, admission);
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
					ledger.recordCompleted(fingerprint(), clock.monotonic(), trialId !== undefined);
				}

				if (outcome === 'unclear') {
					withdrawTrial(trialId);
				}

				if (outcome === 'silent') {
					void recordSilent(requestId, fingerprint(), run, trialId);
				}

				if (outcome === 'broken') {
					await Promise.race([recordBroken(requestId, fingerprint(), run, trialId), loop.sleep(VERDICT_WAIT_MS)]);
				}
			};
		},
	};
}
