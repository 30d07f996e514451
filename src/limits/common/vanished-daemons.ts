/**
 * Finds daemons that certainly do not run any more: their VM is gone from the VM list, or nothing listens on their peer
 * port. The list lags, so a VM counts as gone only if it was listed before and has been missing for some time. A frozen or
 * unreachable daemon does not refuse connections, so it never counts as gone.
 */
import type {Vm} from '../../adapters/common/vm-list.js';

/** What a connection to a daemon's peer port showed. */
export type PortState = 'open' | 'refused' | 'unknown';

/** Watches for daemons that vanish. */
export type VanishedDaemons = {
	/** Takes a whole VM list. */
	readonly updateVms: (vms: readonly Vm[], now: number) => void;
	/** Takes the outcome of a connection to a daemon's peer port. */
	readonly probed: (daemonId: string, state: PortState, now: number) => void;
	readonly isGone: (daemonId: string, now: number) => boolean;
};

type Refusals = {
	readonly since: number;
	readonly count: number;
};

/** Time for which a VM must be missing from the list. */
const MISSING_MS = 15_000;
/** Time for which every connection must be refused; a daemon that restarts is back before or has a new run. */
const REFUSED_MS = 2000;
const REFUSALS = 3;

/** Creates a watch. `addressOf` gives address and peer port of a daemon, as last known. */
export function createVanishedDaemons(addressOf: (daemonId: string) => string | undefined): VanishedDaemons {
	const lastSeen = new Map<string, number>();
	const refusals = new Map<string, Refusals>();
	let updatedAt = Number.NEGATIVE_INFINITY;

	function isVmGone(daemonId: string, now: number): boolean {
		const seenAt = lastSeen.get(addressOf(daemonId) ?? '');
		return seenAt !== undefined && updatedAt > seenAt && now - seenAt > MISSING_MS;
	}

	function isPortClosed(daemonId: string, now: number): boolean {
		const refused = refusals.get(daemonId);
		return refused !== undefined && refused.count >= REFUSALS && now - refused.since >= REFUSED_MS;
	}

	return {
		updateVms(vms, now) {
			updatedAt = now;
			vms.filter(vm => vm.pool === 'entry').forEach(vm => {
				lastSeen.set(`${vm.address}:${vm.port}`, now);
			});
		},
		probed(daemonId, state, now) {
			if (state !== 'refused') {
				refusals.delete(daemonId);
				return;
			}

			const known = refusals.get(daemonId) ?? {since: now, count: 0};
			refusals.set(daemonId, {...known, count: known.count + 1});
		},
		isGone: (daemonId, now) => isVmGone(daemonId, now) || isPortClosed(daemonId, now),
	};
}
