/** What a daemon on a hosted platform knows of itself and of its surroundings when it starts. */
import {createServiceKey} from '../../kernel/common/contribution.js';

/** An address to listen on or to call. */
export type HostAddress = {
	readonly ip: string;
	readonly port: number;
};

/** Bounds that the platform's operators state, in milliseconds. */
export type HostBounds = {
	/** Time within which a leaving backend server must get no more work. */
	readonly drainMs: number;
	/** Time from SIGTERM until the process is killed. */
	readonly graceMs: number;
	/** Time within which a configuration must be in force. */
	readonly configurationMs: number;
	/** Silence after which a lease counts as lapsed. */
	readonly leaseMs: number;
	/** Time within which a cancelled batch must reach no more backend servers. */
	readonly cancelMs: number;
	/** Time for which results of a batch can be read after its submission. */
	readonly resultRetentionMs: number;
};

/** The daemon's own VM and its surroundings. */
export type Host = {
	readonly name: string;
	/** Distinguishes this run of the process from earlier ones on the same VM. */
	readonly incarnation: string;
	readonly availabilityZone: string;
	readonly region: string;
	readonly regionByZone: Readonly<Record<string, string>>;
	/** Cores of the VM by their share that the process may use and by their speed; 1 is one whole core of today. */
	readonly capacity: number;
	/** Where callers connect; undefined on VMs that serve none. */
	readonly callers: HostAddress | undefined;
	/** Where the balancer asks for readiness. */
	readonly readiness: HostAddress | undefined;
	/** Where other daemons connect. */
	readonly peers: HostAddress;
	/** Peer addresses of daemons that may be up, from the settings. */
	readonly seeds: readonly HostAddress[];
	/** Whether backend servers refuse orders with a lower fencing number. */
	readonly serversCheckFencing: boolean;
	readonly bounds: HostBounds;
};

/** The daemon's host. */
export const hostKey = createServiceKey<Host>('host');
