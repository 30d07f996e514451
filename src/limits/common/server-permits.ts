/** Permits for requests to backend servers that limit how many they take. Every request to such a server needs one. */
import type {PermitDecision, PermitUrgency, PermitWait} from './permit-ledger.js';

/** The permits of one daemon. */
export type ServerPermits = {
	/** Whether requests to a server need permits at present. */
	readonly isLimited: (serverId: string) => boolean;
	/** Expected time until a request to a server would get a permit, in milliseconds; 0 when it needs none. */
	readonly waitMs: (serverId: string, urgency: PermitUrgency, now: number) => number;
	/** Resolves when a request to a server may be sent, or when it is known that it will not get a permit within its patience. */
	readonly obtain: (serverId: string, wait: PermitWait) => Promise<PermitDecision>;
};

/** Permits where no server limits its requests. */
export const unlimitedPermits: ServerPermits = {
	isLimited: () => false,
	waitMs: () => 0,
	obtain: async () => ({isGranted: true, waitMs: 0}),
};
