/**
 * Finds daemons whose VM is gone. The VM list lags, so a daemon counts as gone only if its VM was listed before and has
 * been missing for some time.
 */
import type {Vm} from '../../platform/common/vm-list.js';

/** Watches the VM list for daemons that vanish. */
export type VanishedDaemons = {
	/** Takes a whole VM list. */
	readonly update: (vms: readonly Vm[], now: number) => void;
	/** Whether the VM of a daemon was listed once and is certainly gone. */
	readonly isGone: (daemonId: string, now: number) => boolean;
};

/** Time for which a VM must be missing from the list. */
const MISSING_MS = 15_000;

/** Creates a watch. `addressOf` gives address and peer port of a daemon, as last known. */
export function createVanishedDaemons(addressOf: (daemonId: string) => string | undefined): VanishedDaemons {
	const lastSeen = new Map<string, number>();
	let updatedAt = Number.NEGATIVE_INFINITY;

	return {
		update(vms, now) {
			updatedAt = now;
			vms.filter(vm => vm.pool === 'entry').forEach(vm => {
				lastSeen.set(`${vm.address}:${vm.port}`, now);
			});
		},
		isGone(daemonId, now) {
			const seenAt = lastSeen.get(addressOf(daemonId) ?? '');
			return seenAt !== undefined && updatedAt > seenAt && now - seenAt > MISSING_MS;
		},
	};
}
