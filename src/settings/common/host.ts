/** What a daemon on a hosted platform knows about itself and its environment when it starts. */
import type {ConnectionTable} from '../../base/common/connection-table.js';
import {createServiceKey} from '../../kernel/common/contribution.js';

/** An address to listen on or to call. */
export type HostAddress = {
	readonly ip: string;
	readonly port: number;
};

/** Time limits that the platform's operators set, in milliseconds. */
export type HostBounds = {
	/** Time after which a leaving backend server must receive no more work. */
	readonly drainMs: number;
	/** Time from SIGTERM until the process is killed. */
	readonly graceMs: number;
	/** Time within which a new configuration must take effect. */
	readonly configurationMs: number;
	/** Time without a renewal after which a lease counts as expired. */
	readonly leaseMs: number;
	/** Time after which a cancelled batch must send nothing to backend servers any more. */
	readonly cancelMs: number;
	/** Time after its submission for which the results of a batch can be read. */
	readonly resultRetentionMs: number;
};

/** Limits that the platform sets for the process. */
export type HostLimits = {
	/** Resident memory that the process may use, in megabytes. */
	readonly memoryMb: number;
	/** Number of file descriptors that the process may open. */
	readonly descriptors: number;
};

/** The daemon's own VM and its environment. */
export type Host = {
	readonly name: string;
	/** Distinguishes this process from earlier ones on the same VM. */
	readonly incarnation: string;
	readonly availabilityZone: string;
	readonly region: string;
	readonly regionByZone: Readonly<Record<string, string>>;
	/** Number of cores of the VM, weighted by the share that the process may use and by their speed; 1 is one full core at the speed of current VMs. */
	readonly capacity: number;
	/** Address for callers; undefined on VMs that serve no callers. */
	readonly callers: HostAddress | undefined;
	/** Address on which the load balancer checks readiness. */
	readonly readiness: HostAddress | undefined;
	/** Address for other daemons. */
	readonly peers: HostAddress;
	/** Peer addresses, from the settings, of daemons that may be running. */
	readonly seeds: readonly HostAddress[];
	/** Whether backend servers reject orders with a lower fencing number. */
	readonly serversCheckFencing: boolean;
	readonly bounds: HostBounds;
	readonly limits: HostLimits;
};

/** The accepted connections of the process. */
export const connectionTableKey = createServiceKey<ConnectionTable>('connection table');

/** The daemon's host. */
export const hostKey = createServiceKey<Host>('host');

/** Part of the grace period that is reserved for the last steps of a stop, before the platform kills the process, in milliseconds. */
const STOP_MARGIN_MS = 500;

/** Time from the signal to stop until the process ends, whatever is still in progress, in milliseconds. */
export function computeStopLimitMs({graceMs}: Pick<Host['bounds'], 'graceMs'>): number {
	return Math.max(0, graceMs - STOP_MARGIN_MS);
}
