/** The platform's list of VMs. It is out of date by some seconds. */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import {createServiceKey} from '../../kernel/common/contribution.js';

/** An entry of the list. */
export type Vm = {
	readonly id: string;
	readonly address: string;
	readonly port: number;
	readonly availabilityZone: string;
	readonly state: 'live' | 'leaving';
	/** The pool for backend servers; `entry` for VMs that run a daemon (then `port` is the peer port). */
	readonly pool: string;
	/** Unix time in milliseconds at which the VM's process started; distinguishes successive processes with the same id. Absent when unknown. */
	readonly startedAt?: number;
};

/** The VM list. */
export abstract class VmList {
	/** Reads the complete list. */
	abstract list(): Promise<Result<readonly Vm[], Failure>>;
}

/** The daemon's VM list. */
export const vmListKey = createServiceKey<VmList>('vm-list');
