/**
 * Detects daemons that certainly no longer run: their VM is missing from the VM list, or nothing listens on their peer
 * port. The list lags, so a VM counts as removed only if it was listed before and has been missing for `VM_MISSING_MS`. A
 * frozen or unreachable daemon doesn't refuse connections, so its port never counts as closed.
 */
import type {Vm} from '../../adapters/common/vm-list.js';

/** The result of a connection attempt to a daemon's peer port. */
export type PortState = 'open' | 'refused' | 'unknown';

/** Detects daemons that have stopped. */
export type StoppedDaemons = {
	/** Applies a complete VM list. */
	readonly updateVms: (vms: readonly Vm[], now: number) => void;
	/** Records the result of a connection attempt to a daemon's peer port. */
	readonly recordProbe: (daemonId: string, state: PortState, now: number) => void;
	readonly isStopped: (daemonId: string, now: number) => boolean;
};

type Refusals = {
	readonly since: number;
	readonly count: number;
};

/** Time for which a VM must be missing from the list to count as removed. */
const VM_MISSING_MS = 15_000;
/** Time for which every connection must be refused; a restarting daemon listens again earlier, or comes back with a new run. */
const PORT_REFUSED_MS = 2000;
/** Number of consecutive refusals after which a port counts as closed. */
const MINIMUM_REFUSALS = 3;

/** Creates a detector. `addressOf` returns the last known `address:peerPort` of a daemon. */
export function createStoppedDaemons(addressOf: (daemonId: string) => string | undefined): StoppedDaemons {
	const lastSeen = new Map<string, number>();
	const refusals = new Map<string, Refusals>();
	let updatedAt = Number.NEGATIVE_INFINITY;

	function isVmRemoved(daemonId: string, now: number): boolean {
		const seenAt = lastSeen.get(addressOf(daemonId) ?? '');
		return seenAt !== undefined && updatedAt > seenAt && now - seenAt > VM_MISSING_MS;
	}

	function isPortClosed(daemonId: string, now: number): boolean {
		const refused = refusals.get(daemonId);
		return refused !== undefined && refused.count >= MINIMUM_REFUSALS && now - refused.since >= PORT_REFUSED_MS;
	}

	return {
		updateVms(vms, now) {
			updatedAt = now;
			vms.filter(vm => vm.pool === 'entry').forEach(vm => {
				lastSeen.set(`${vm.address}:${vm.port}`, now);
			});
		},
		recordProbe(daemonId, state, now) {
			if (state !== 'refused') {
				refusals.delete(daemonId);
				return;
			}

			const known = refusals.get(daemonId) ?? {since: now, count: 0};
			refusals.set(daemonId, {...known, count: known.count + 1});
		},
		isStopped: (daemonId, now) => isVmRemoved(daemonId, now) || isPortClosed(daemonId, now),
	};
}
