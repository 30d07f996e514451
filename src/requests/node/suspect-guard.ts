/** Detects requests that crash backend servers and reports them to other daemons. */
import type {Result} from 'neverthrow';
import type {Clock} from '../../base/common/clock.js';
import type {Failure} from '../../base/common/failure.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {LoadReport} from '../../adapters/common/engine.js';
import type {BackendServer} from '../../routing/common/router.js';
import type {SuspectTable} from '../common/suspect-table.js';
import type {SuspectGuard} from '../common/suspect-guard.js';
import type {SuspectTransport} from '../common/suspect-transport.js';
import {createSuspectLedger} from './suspect-ledger.js';

/** Dependencies of a suspect guard. */
export type SuspectGuardDependencies = {
	readonly table: SuspectTable;
	readonly transport: SuspectTransport;
	/** Queries a server's load, to determine whether it still runs. */
	readonly probe: (server: BackendServer) => Promise<Result<LoadReport, Failure>>;
	/** Returns an id that is unique in the fleet. */
	readonly nextCrashId: () => string;
	readonly clock: Clock;
	readonly loop: Loop;
};

const IDLE_POLL_MS = 100;
/** Time after which waiting for a reserved server to become idle ends. */
const MAXIMUM_IDLE_WAIT_MS = 8000;

/** Creates the guard of a daemon. */
export function createSuspectGuard(dependencies: SuspectGuardDependencies): SuspectGuard {
	const {transport, probe, nextCrashId, clock, loop} = dependencies;
	const ledger = createSuspectLedger(dependencies);

	/**
	 * A broken connection alone may be a network fault. The server has crashed if it then refuses connections, or if its
	 * uptime shows that it started again after the request was sent.
	 */
	async function hasCrashed(server: BackendServer, sentAt: number): Promise<boolean> {
		const probedAt = clock.monotonic();
		const load = await probe(server);
		return load.match(
			({uptimeMs}) => uptimeMs !== undefined && probedAt - uptimeMs > sentAt,
			failure => failure.effect === 'notRun',
		);
	}

	/** A load report counts only if it was made after all daemons had been asked to send no new requests to the server. */
	async function waitUntilIdle(server: BackendServer, reservedAt: number, until: number): Promise<boolean> {
		const load = await probe(server);
		const now = clock.monotonic();
		if (load.isErr() || now >= until) {
			return false;
		}

		const {running, queued, ageMs} = load.value;
		if (running + queued === 0 && now - ageMs >= reservedAt) {
			return true;
		}

		await loop.sleep(IDLE_POLL_MS);
		return waitUntilIdle(server, reservedAt, until);
	}

	return {
		check: ledger.check,
		recordCompleted: ledger.recordCompleted,
		async isolate(server, deadline) {
			await transport.reserve(server.id);
			const reservedAt = clock.monotonic();
			const isIdle = await waitUntilIdle(server, reservedAt, Math.min(deadline, reservedAt + MAXIMUM_IDLE_WAIT_MS));
			return isIdle && transport.hasPrecedence(server.id);
		},
		async recordBrokenAttempt({fingerprint, server, sentAt, isolation}, now) {
			if (!await hasCrashed(server, sentAt)) {
				return;
			}

			await ledger.recordCrash({
				fingerprint, crashId: nextCrashId(), serverId: server.id, at: clock.wall(), alone: isolation === 'alone', acquitted: false,
			}, now);
		},
	};
}
