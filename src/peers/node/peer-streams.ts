/** Calls between daemons whose bodies are not JSON, or whose replies are read as they arrive. They use the port of the peer mesh. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Result} from 'neverthrow';
import type {HttpCall, HttpResponse} from '../../adapters/node/http-exchange.js';
import type {Failure} from '../../base/common/failure.js';
import {createServiceKey} from '../../kernel/common/contribution.js';
import type {PeerDaemon} from '../common/peer-mesh.js';

/** Handles one kind of call. */
export type PeerStreamHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

/** Streamed calls to other daemons, and handlers of their calls. */
export type PeerStreams = {
	/** Registers the handler of a call by its name, which is unique also among the calls of the mesh. */
	readonly handleStream: (name: string, handler: PeerStreamHandler) => void;
	/** Calls another daemon. A daemon that does not know the call replies with status 404. */
	readonly callStream: (peer: PeerDaemon, name: string, call: Pick<HttpCall, 'body' | 'connectTimeoutMs' | 'maySend' | 'onData' | 'signal' | 'timeoutMs'>) => Promise<Result<HttpResponse, Failure>>;
};

/** Service key of the daemon's streamed calls. */
export const peerStreamsKey = createServiceKey<PeerStreams>('peer-streams');
