/** Guards backend servers against requests that crash them, on one daemon. */
import type {Result} from 'neverthrow';
import type {Clock} from '../../base/common/clock.js';
import type {Failure} from '../../base/common/failure.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {LoadReport} from '../../adapters/common/engine.js';
import type {BackendServer} from '../../routing/common/router.js';
import type {Crash, SuspectTable} from '../common/suspect-table.js';
import type {SuspectGuard} from '../common/suspect-guard.js';
import type {SuspectTransport} from '../common/suspect-transport.js';

/** What the guard rests on. */
export type SuspectGuardDependencies = {
	readonly table: SuspectTable;
	readonly transport: SuspectTransport;
	/** Asks a server for its load, to find out whether it still runs. */
	readonly probe: (server: BackendServer) => Promise<Result<LoadReport, Failure>>;
	/** Unique per crash over the fleet. */
	readonly nextCrashId: () => string;
	readonly clock: Clock;
	readonly loop: Loop;
};

/** Newest crashes that a rumor has room for. */
const MAXIMUM_RUMOR_CRASHES = 4;
const EMPTY_POLL_MS = 100;
/** A server that does not become empty within this time is let go. */
const MAXIMUM_EMPTY_WAIT_MS = 8000;

/** Creates the guard. */
export function createSuspectGuard(dependencies: SuspectGuardDependencies): SuspectGuard {
	const {table, transport, probe, nextCrashId, clock, loop} = dependencies;

	async function publishCrashes(crashes: readonly Crash[]): Promise<void> {
		transport.spread(table.recent(MAXIMUM_RUMOR_CRASHES));
		const isStored = await transport.report(crashes);
		if (!isStored) {
			await transport.announce(crashes);
		}
	}

	/**
	 * A broken connection alone may be the network's fault; a server that then refuses connections has died, and so has
	 * one that has started again since the request was sent.
	 */
	async function hasCrashed(server: BackendServer, sentAt: number): Promise<boolean> {
		const askedAt = clock.monotonic();
		const load = await probe(server);
		return load.match(
			({uptimeMs}) => uptimeMs !== undefined && askedAt - uptimeMs > sentAt,
			failure => failure.effect === 'notRun',
		);
	}

	/** A report counts only if it was taken after all daemons had been asked to stay away. */
	async function waitUntilEmpty(server: BackendServer, reservedAt: number, until: number): Promise<boolean> {
		const load = await probe(server);
		const now = clock.monotonic();
		if (load.isErr() || now >= until) {
			return false;
		}

		const {running, queued, ageMs} = load.value;
		if (running + queued === 0 && now - ageMs >= reservedAt) {
			return true;
		}

		await loop.sleep(EMPTY_POLL_MS);
		return waitUntilEmpty(server, reservedAt, until);
	}

	return {
		check: table.check,
		async isolate(server, deadline) {
			await transport.reserve(server.id);
			const reservedAt = clock.monotonic();
			const isEmpty = await waitUntilEmpty(server, reservedAt, Math.min(deadline, reservedAt + MAXIMUM_EMPTY_WAIT_MS));
			return isEmpty && transport.goesFirst(server.id);
		},
		async recordBrokenAttempt({fingerprint, server, sentAt, isolation}, now) {
			if (!await hasCrashed(server, sentAt)) {
				return;
			}

			const crash = {
				fingerprint, crashId: nextCrashId(), serverId: server.id, at: clock.wall(), alone: isolation === 'alone', acquitted: false,
			};
			table.add([crash], now);
			await publishCrashes([crash]);
		},
		recordCompleted(fingerprint, now) {
			const cleared = table.acquit(fingerprint, now);
			if (cleared.length > 0) {
				void publishCrashes(cleared);
			}
		},
	};
}
