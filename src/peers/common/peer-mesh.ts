/** Calls between the daemons of a hosted platform: JSON over HTTP, from any daemon to any other. */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import {createServiceKey} from '../../kernel/common/contribution.js';

/** Another daemon, or the own one, as others reach it. */
export type PeerDaemon = {
	readonly name: string;
	readonly incarnation: string;
	readonly ip: string;
	readonly port: number;
	readonly region: string;
	readonly availabilityZone: string;
	/** Share of cores that the daemon may use; left out by those that do not say. */
	readonly capacity?: number;
};

/** The outcome of a call as the called daemon states it. */
export type PeerReply = {
	readonly status: number;
	readonly body: unknown;
};

/** Handles one kind of call. */
export type PeerHandler = (body: unknown) => Promise<PeerReply>;

/** The way to other daemons. */
export type PeerMesh = {
	readonly self: PeerDaemon;
	/** Registers the handler of a call; names are unique. */
	readonly handle: (name: string, handler: PeerHandler) => void;
	/** Calls another daemon and waits for its reply up to a time. */
	readonly call: (peer: PeerDaemon, name: string, body: unknown, timeoutMs: number) => Promise<Result<PeerReply, Failure>>;
	/** Other daemons that are known, whether up or not. */
	readonly others: () => readonly PeerDaemon[];
	/** Other daemons, those first whose last call did not fail a moment ago. */
	readonly likelyUp: () => readonly PeerDaemon[];
	/** Replaces the known daemons. */
	readonly learn: (daemons: readonly PeerDaemon[]) => void;
};

/** The daemon's way to others. */
export const peerMeshKey = createServiceKey<PeerMesh>('peer-mesh');
