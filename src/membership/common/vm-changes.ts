/** The difference between two VM lists, so that only changes are sent to a daemon that has the older list. */
import type {Vm} from '../../adapters/common/vm-list.js';

/** The changes from an older list to a newer one. */
export type VmChanges = {
	/** New and changed VMs, each with all its fields. */
	readonly changed: readonly Vm[];
	/** Ids of VMs that are no longer listed. */
	readonly removed: readonly string[];
};

/** Serializes the fields of a VM that digests and comparisons include. */
export function serializeVm(vm: Vm): string {
	return JSON.stringify([vm.id, vm.address, vm.port, vm.availabilityZone, vm.state, vm.pool]);
}

/** Finds the changes from one list to another. */
export function findVmChanges(before: readonly Vm[], after: readonly Vm[]): VmChanges {
	const serializedById = new Map(before.map(vm => [vm.id, serializeVm(vm)]));
	const listedIds = new Set(after.map(vm => vm.id));
	return {
		changed: after.filter(vm => serializedById.get(vm.id) !== serializeVm(vm)),
		removed: before.filter(vm => !listedIds.has(vm.id)).map(vm => vm.id),
	};
}

/** Applies changes to the list from which they were computed. The order of the VMs may differ from that of the newer list. */
export function applyVmChanges(before: readonly Vm[], {changed, removed}: VmChanges): readonly Vm[] {
	const replacedIds = new Set([...removed, ...changed.map(vm => vm.id)]);
	return [...before.filter(vm => !replacedIds.has(vm.id)), ...changed];
}
