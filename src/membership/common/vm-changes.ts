/** The difference between two VM lists, so that a daemon that has the older one is sent only what changed. */
import type {Vm} from '../../adapters/common/vm-list.js';

/** What turns an older list into a newer one. */
export type VmChanges = {
	/** VMs that are new or shown differently, whole. */
	readonly changed: readonly Vm[];
	/** Ids of VMs that are not listed any more. */
	readonly removed: readonly string[];
};

/** A VM as digests and differences see it. */
export function rowOfVm(vm: Vm): string {
	return JSON.stringify([vm.id, vm.address, vm.port, vm.availabilityZone, vm.state, vm.pool]);
}

/** Finds what changed from one list to another. */
export function findVmChanges(before: readonly Vm[], after: readonly Vm[]): VmChanges {
	const rows = new Map(before.map(vm => [vm.id, rowOfVm(vm)]));
	const listed = new Set(after.map(vm => vm.id));
	return {
		changed: after.filter(vm => rows.get(vm.id) !== rowOfVm(vm)),
		removed: before.filter(vm => !listed.has(vm.id)).map(vm => vm.id),
	};
}

/** Applies changes to the list that they were found from; the order of the VMs may differ. */
export function applyVmChanges(before: readonly Vm[], {changed, removed}: VmChanges): readonly Vm[] {
	const replaced = new Set([...removed, ...changed.map(vm => vm.id)]);
	return [...before.filter(vm => !replaced.has(vm.id)), ...changed];
}
