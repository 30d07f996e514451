/** Choice of a backend server by lagging load, prefix affinity, region and cost of bytes. */
import type {Result} from 'neverthrow';
import type {Event} from '../../base/common/event.js';
import type {Failure} from '../../base/common/failure.js';
import {createServiceKey} from '../../kernel/common/contribution.js';
import type {Engine, Endpoint} from '../../adapters/common/engine.js';
import type {Service} from '../../adapters/common/service.js';
import type {EstimatedLoad} from './load-estimate.js';

/** A backend server of a pool, as this daemon knows it. */
export type BackendServer = Endpoint & {
	readonly id: string;
	readonly pool: string;
	readonly availabilityZone: string;
	readonly region: string;
	readonly state: 'live' | 'leaving';
};

/** What a request needs of a backend server. */
export type RouteRequest = {
	readonly pool: string;
	/** Identifies the shared prompt prefix, such as the group of a sample; undefined when there is none. */
	readonly prefixKey: string | undefined;
	/** Prompt tokens saved where the prefix is cached. */
	readonly prefixTokens: number;
	/** Tokens that the request is expected to generate, 0 for plain services. */
	readonly expectedTokens: number;
	/** Bytes that cross between caller and backend server, both ways. */
	readonly expectedBytes: number;
	/** Servers already tried. */
	readonly excluded: readonly string[];
	/** The only servers allowed, such as those on a weight version; undefined allows all. */
	readonly allowed: readonly string[] | undefined;
	/** Reserves the server for this request: for suspects. The caller waits until the server has finished its other work. */
	readonly alone: boolean;
};

/** A dispatch under way. */
export type Dispatch = {
	readonly server: BackendServer;
	/** Ends the dispatch. `refused` means that the server said that it is leaving or full; `died` that it broke off. */
	readonly end: (now: number, outcome: 'done' | 'cancelled' | 'refused' | 'died') => void;
};

/** The router of one daemon. */
export type Router = {
	/** Chooses a server and counts the dispatch at once. `unavailable` when no server may take the request. */
	readonly dispatch: (request: RouteRequest, now: number) => Result<Dispatch, Failure>;
	/** Known servers of a pool, the leaving ones included. */
	readonly servers: (pool: string) => readonly BackendServer[];
	readonly engine: (server: BackendServer) => Engine;
	readonly service: (server: BackendServer) => Service;
	/** Fires when the VM list or a server itself has shown a change. */
	readonly onDidChangeServers: Event<readonly BackendServer[]>;
	/** Dispatches that this daemon has under way on a server. */
	readonly inFlight: (serverId: string) => number;
	/** The estimated load of a server: its last report, corrected by this daemon's own dispatches since. */
	readonly load: (serverId: string, now: number) => EstimatedLoad;
};

/** The daemon's router. */
export const routerKey = createServiceKey<Router>('router');
