/** Routes requests to backend servers by estimated load, prefix affinity, region, and cost of traffic between regions. */
import type {Result} from 'neverthrow';
import type {Event} from '../../base/common/event.js';
import type {Failure} from '../../base/common/failure.js';
import {createServiceKey} from '../../kernel/common/contribution.js';
import type {Engine, Endpoint} from '../../adapters/common/engine.js';
import type {Service} from '../../adapters/common/service.js';
import type {EstimatedLoad} from './load-estimate.js';

/** A backend server of a pool, as known to this daemon. */
export type BackendServer = Endpoint & {
	readonly id: string;
	readonly pool: string;
	readonly availabilityZone: string;
	readonly region: string;
	readonly state: 'live' | 'leaving';
};

/** A request's requirements for the choice of a backend server. */
export type RouteRequest = {
	readonly pool: string;
	/** Identifies the shared prompt prefix, such as the group of a sample; undefined when there is none. */
	readonly prefixKey: string | undefined;
	/** Prompt tokens that need no prefill on a server that has the prefix cached. */
	readonly prefixTokens: number;
	/** Tokens that the request is expected to generate, 0 for plain services. */
	readonly expectedTokens: number;
	/** Expected bytes between caller and backend server, in both directions together. */
	readonly expectedBytes: number;
	/** Ids of servers that must not be chosen, such as those already tried. */
	readonly excluded: readonly string[];
	/** Ids of the only servers that may be chosen, such as those that serve a weight version; undefined allows all. */
	readonly allowed: readonly string[] | undefined;
	/** Reserves the server for this request alone, which is done for requests suspected of crashing engines. The caller of `dispatch` waits until the server has finished its other work. */
	readonly alone: boolean;
};

/** A dispatch in progress. */
export type Dispatch = {
	readonly server: BackendServer;
	/** Ends the dispatch. `refused` means that the server answered that it is leaving or full, `died` that it broke off the request. */
	readonly end: (now: number, outcome: 'done' | 'cancelled' | 'refused' | 'died') => void;
};

/** The router of one daemon. */
export type Router = {
	/** Chooses a server and counts the dispatch immediately. Fails with `unavailable` when no server may be chosen. */
	readonly dispatch: (request: RouteRequest, now: number) => Result<Dispatch, Failure>;
	/** Known servers of a pool, including leaving ones. */
	readonly servers: (pool: string) => readonly BackendServer[];
	readonly engine: (server: BackendServer) => Engine;
	readonly service: (server: BackendServer) => Service;
	/** Fires with the changed servers when the VM list has changed. */
	readonly onDidChangeServers: Event<readonly BackendServer[]>;
	/** Number of dispatches that this daemon has in progress on a server. */
	readonly inFlight: (serverId: string) => number;
	/** The estimated load of a server: its last report, corrected by this daemon's own dispatches since then. */
	readonly load: (serverId: string, now: number) => EstimatedLoad;
};

/** Service key of the daemon's router. */
export const routerKey = createServiceKey<Router>('router');
