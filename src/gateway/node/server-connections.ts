/**
 * The connections to backend servers. One that has carried a request is not used for the same request again, whatever sends it: a late
 * copy of the server's earlier answer has the request's id, and would be taken for the answer to the later attempt.
 */
import {Agent} from 'node:http';
import type {Socket} from 'node:net';
import type {Disposable} from '../../base/common/disposable.js';
import {createCarriedRequests, type CarriedRequests} from '../common/carried-requests.js';

/** The connections of one daemon to backend servers. */
export type ServerConnections = Disposable & {
	/** Returns an agent whose connection for the next request to a server has not carried this request. */
	readonly chooseAgent: (server: URL, requestId: string) => Agent;
	/** An agent that opens a connection for each request, and closes it afterwards. */
	readonly singleUse: Agent;
	/** Records that a connection carries a request; returns all that it has carried. */
	readonly record: (socket: Socket, requestId: string, now: number) => Pick<CarriedRequests, 'has'>;
};

/** Idle connections are closed after this time, unless the server states a shorter one. */
const IDLE_CONNECTION_TIMEOUT_MS = 8000;

/** Creates the connections of a daemon that has none yet. */
export function createServerConnections(): ServerConnections {
	const createKeptAgent = (): Agent => new Agent({keepAlive: true, timeout: IDLE_CONNECTION_TIMEOUT_MS, scheduling: 'lifo'});
	// Repeated requests share connections of their own, so that a request that is sent twice costs no connection each time.
	const keptAgents = [createKeptAgent(), createKeptAgent()];
	const singleUse = new Agent({keepAlive: false});
	const carriedBySocket = new WeakMap<Socket, CarriedRequests>();

	/** Whether an idle connection to the server, any of which may be chosen, has carried the request. */
	function hasIdleCarrier(agent: Agent, {hostname, port}: URL, requestId: string): boolean {
		const idle = agent.freeSockets[agent.getName({host: hostname.replaceAll(/[[\]]/g, ''), port: Number(port)})] ?? [];
		return idle.some(socket => carriedBySocket.get(socket)?.has(requestId) === true);
	}

	return {
		chooseAgent: (server, requestId) => keptAgents.find(agent => !hasIdleCarrier(agent, server, requestId)) ?? singleUse,
		singleUse,
		record(socket, requestId, now) {
			const carried = carriedBySocket.get(socket) ?? createCarriedRequests(now);
			carriedBySocket.set(socket, carried);
			carried.record(requestId, now);
			return carried;
		},
		dispose() {
			[...keptAgents, singleUse].forEach(agent => {
				agent.destroy();
			});
		},
	};
}
