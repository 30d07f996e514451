/** The HTTP API for callers, trainers and operators. Features register their routes here. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createServiceKey} from '../../kernel/common/contribution.js';
import type {Plan} from '../../plans/common/lists.js';

/** Who may call a route. */
export type Access = 'customer' | 'operator' | 'anyone';

/** The authenticated caller. */
export type Principal
	= | {readonly kind: 'customer'; readonly plan: Plan}
		| {readonly kind: 'operator'; readonly name: string}
		| {readonly kind: 'anyone'};

/** A request whose body has been read completely. */
export type FrontRequest = {
	/** Returned to the caller in the `request-id` header, and included in log lines. */
	readonly requestId: string;
	readonly principal: Principal;
	/** Values of the `:name` segments of the route's path; a trailing `*rest` matches all remaining segments. */
	readonly parameters: Readonly<Record<string, string>>;
	readonly query: URLSearchParams;
	readonly body: Uint8Array;
	readonly raw: IncomingMessage;
	/** Monotonic time by which the caller needs the complete response. */
	readonly deadline: number;
	/** Aborted when the caller disconnects. */
	readonly signal: AbortSignal;
};

/** A route. */
export type Route = {
	readonly method: string;
	/** For example `/v1/services/:pool/*rest`. */
	readonly path: string;
	readonly access: Access;
	readonly handle: (request: FrontRequest, response: ServerResponse, now: number) => Promise<void>;
};

/** The HTTP API of a daemon. */
export type Front = {
	readonly register: (route: Route) => void;
};

/** Service key of the daemon's HTTP API. */
export const frontKey = createServiceKey<Front>('front');
