/** Relays: one daemon sends an attempt to a backend server for another one, which has no link to the server. The attempt stays the other daemon's in all else. */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import type {PeerDaemon} from '../../peers/common/peer-mesh.js';
import type {ServerAttempt} from './server-protocol.js';
import type {SendableState} from './work-status.js';

/** An attempt that another daemon is asked to send. */
export type RelayCall = {
	readonly server: {readonly id: string; readonly address: string; readonly port: number};
	readonly method: string;
	/** Path with query. */
	readonly path: string;
	readonly headers: Readonly<Record<string, string | readonly string[]>>;
	readonly body: Uint8Array | undefined;
	readonly attempt: ServerAttempt;
	/** Time limit of the attempt, in milliseconds. */
	readonly timeoutMs: number;
	/** Whether the attempt needs a connection of its own; undefined from daemons of builds that do not tell. */
	readonly usesNewConnection?: boolean;
	/** State of the work that the attempt belongs to; undefined for other attempts, and from daemons of builds that do not tell. */
	readonly work?: SendableState;
};

/** Status line and headers of a server's response. */
export type RelayedHead = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | readonly string[]>>;
};

/** Receives the response of a relayed attempt. */
export type RelaySink = {
	/** Receives the head, before any data; a returned text aborts the attempt and is the reason. */
	readonly onHead: (head: RelayedHead) => string | undefined;
	/** Receives the body as it arrives; a returned text aborts the attempt and is the reason. */
	readonly onData: (chunk: Uint8Array) => string | undefined;
};

/** Why a daemon did not send an attempt; the request has not run. */
export type RelayRefusal
	/** It relays as many attempts as it may, or is stopping. */
	= | 'busy'
	/** Its own links to the pool are cut. */
		| 'cut'
	/** The asking daemon can't tell whether the attempt's work goes on, and this one reaches the store, at which the work may have ended. */
		| 'unconfirmed'
	/** It is of a build without relays. */
		| 'unsupported'
	/** It could not be connected to. */
		| 'unreachable';

/** How a relayed attempt ended. */
export type RelayEnd
	= | {readonly kind: 'refused'; readonly reason: RelayRefusal}
	/** The response is complete, or the attempt failed as stated. */
		| {readonly kind: 'ended'; readonly result: Result<void, Failure>};

/** Carries attempts to other daemons. */
export type RelayTransport = {
	/** `maySend` is asked when the connection is ready, immediately before the first byte is sent; with false the attempt fails as not run. */
	readonly send: (peer: PeerDaemon, call: RelayCall, sink: RelaySink, signal: AbortSignal, maySend?: () => boolean) => Promise<RelayEnd>;
};
