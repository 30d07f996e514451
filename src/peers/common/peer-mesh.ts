/** Calls between the daemons of a hosted platform: JSON over HTTP, from any daemon to any other. */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import {createServiceKey} from '../../kernel/common/contribution.js';

/** Identity and address of a daemon, as other daemons reach it. */
export type PeerDaemon = {
	readonly name: string;
	readonly incarnation: string;
	readonly ip: string;
	readonly port: number;
	readonly region: string;
	readonly availabilityZone: string;
	/** Cores that the daemon may use, weighted by their speed, as in `Host.capacity`; undefined if it does not report it. */
	readonly capacity?: number;
};

/** Whether an identity is that of the given run of a daemon. */
export function isSameRun(daemon: PeerDaemon | undefined, run: PeerDaemon): boolean {
	return daemon?.name === run.name && daemon.incarnation === run.incarnation;
}

/** The reply of the called daemon. */
export type PeerReply = {
	readonly status: number;
	readonly body: unknown;
};

/** Handles one kind of call. */
export type PeerHandler = (body: unknown) => Promise<PeerReply>;

/** Calls to other daemons, and handlers of their calls. */
export type PeerMesh = {
	readonly self: PeerDaemon;
	/** Registers the handler of a call by its unique name. */
	readonly handle: (name: string, handler: PeerHandler) => void;
	/** Calls another daemon and waits up to `timeoutMs` for its reply. */
	readonly call: (peer: PeerDaemon, name: string, body: unknown, timeoutMs: number) => Promise<Result<PeerReply, Failure>>;
	/** All known other daemons, whether running or not. */
	readonly others: () => readonly PeerDaemon[];
	/** All known other daemons, those last whose last call failed recently. */
	readonly othersByReachability: () => readonly PeerDaemon[];
	/** Replaces the list of known daemons. */
	readonly setKnownDaemons: (daemons: readonly PeerDaemon[]) => void;
};

/** Service key of the daemon's peer mesh. */
export const peerMeshKey = createServiceKey<PeerMesh>('peer-mesh');
