/** Simulated backend servers that some requests crash, and that restart after 1 ms or after `RESTART_MS`. */
import {err, ok, type Result} from 'neverthrow';
import type {Clock} from '../../../base/common/clock.js';
import type {Event} from '../../../base/common/event.js';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../../base/common/failure.js';
import type {Random} from '../../../base/common/random.js';
import type {Loop} from '../../../kernel/common/loop.js';
import type {LoadReport} from '../../../adapters/common/engine.js';

/** A crash as it happened at a backend server. */
export type SeenCrash = {readonly fingerprint: string; readonly serverId: string; readonly at: number};

/** Tells whether and when a daemon stopped, which closes all its connections. */
export type DaemonLifetime = {readonly onDidStop: Event<void>; readonly isStopped: () => boolean};

/** The servers of one simulation. */
export type SuspectServers = {
	readonly ids: readonly string[];
	readonly crashes: readonly SeenCrash[];
	/** Runs a request for a daemon. */
	readonly execute: (serverId: string, fingerprint: string, lifetime: DaemonLifetime) => Promise<Result<string, Failure>>;
	readonly load: (serverId: string) => Promise<Result<LoadReport, Failure>>;
};

/** Requests whose fingerprint starts with this prefix crash every server. */
export const POISON = 'poison';
const RUN_MS = 400;
const CRASH_AFTER_MS = 100;
const RESTART_MS = 3000;
/** Share of crashes after which the server has restarted before any daemon can probe it. */
const QUICK_RESTART_SHARE = 0.3;
const PROBE_MS = 5;

/** Creates running servers; with `hidesUptime` they don't report their uptime. */
export function createSuspectServers(clock: Clock, loop: Loop, random: Random, hidesUptime: boolean): SuspectServers {
	const ids = ['s1', 's2', 's3', 's4', 's5', 's6'];
	const downUntil = new Map<string, number>();
	const running = new Map<string, Set<() => void>>(ids.map(id => [id, new Set()]));
	const crashes: SeenCrash[] = [];

	const isDown = (serverId: string) => clock.monotonic() < (downUntil.get(serverId) ?? 0);

	function crash(serverId: string, fingerprint: string): void {
		crashes.push({fingerprint, serverId, at: clock.monotonic()});
		downUntil.set(serverId, clock.monotonic() + (random() < QUICK_RESTART_SHARE ? 1 : RESTART_MS));
		[...running.get(serverId)!].forEach(breakConnection => {
			breakConnection();
		});
	}

	/** Runs a request at a backend server. */
	async function execute(serverId: string, fingerprint: string, lifetime: DaemonLifetime): Promise<Result<string, Failure>> {
		const origin = {step: 'run', peer: serverId};
		if (lifetime.isStopped() || isDown(serverId)) {
			return err(createNotRun('unavailable', origin, 'connection refused'));
		}

		return new Promise(resolve => {
			const breakConnection = () => {
				running.get(serverId)!.delete(breakConnection);
				resolve(err(createOutcomeUnknown('incomplete', origin, 'connection broken')));
			};

			running.get(serverId)!.add(breakConnection);
			// A server cancels what it runs for a daemon whose connection closes.
			lifetime.onDidStop(() => {
				running.get(serverId)!.delete(breakConnection);
			});
			loop.after(fingerprint.startsWith(POISON) ? CRASH_AFTER_MS : RUN_MS, () => {
				if (!running.get(serverId)!.has(breakConnection)) {
					return;
				}

				if (fingerprint.startsWith(POISON)) {
					crash(serverId, fingerprint);
					return;
				}

				running.get(serverId)!.delete(breakConnection);
				resolve(ok(`answer to ${fingerprint}`));
			});
		});
	}

	return {
		ids,
		crashes,
		execute,
		async load(serverId) {
			await loop.sleep(PROBE_MS);
			return isDown(serverId)
				? err(createNotRun('unavailable', {step: 'probe', peer: serverId}, 'refused'))
				: ok({
					running: running.get(serverId)!.size, queued: 0, slots: 4, tokensPerSecond: 0, ageMs: 0,
					uptimeMs: hidesUptime ? undefined : clock.monotonic() - (downUntil.get(serverId) ?? 0),
				});
		},
	};
}
