/** The platform's list of VMs. It lags behind the truth by seconds. */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import {createServiceKey} from '../../kernel/common/contribution.js';

/** A VM as the list shows it. */
export type Vm = {
	readonly id: string;
	readonly address: string;
	readonly port: number;
	readonly availabilityZone: string;
	readonly state: 'live' | 'leaving';
	/** The pool for backend servers; `entry` for VMs that run a daemon (then `port` is the peer port). */
	readonly pool: string;
	/** Unix time in milliseconds of the start of what runs there, which tells runs under one id apart; left out when it is not known. */
	readonly startedAt?: number;
};

/** The VM list. */
export abstract class VmList {
	/** Reads the whole list. */
	abstract list(): Promise<Result<readonly Vm[], Failure>>;
}

/** The daemon's VM list. */
export const vmListKey = createServiceKey<VmList>('vm-list');
