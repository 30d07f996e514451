/** The HTTP side that callers, trainers and operators see. Features register their routes here. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createServiceKey} from '../../kernel/common/contribution.js';
import type {Plan} from '../../plans/common/lists.js';

/** Who may call a route. */
export type Access = 'customer' | 'operator' | 'anyone';

/** Who is calling, after authentication. */
export type Principal
	= | {readonly kind: 'customer'; readonly plan: Plan}
		| {readonly kind: 'operator'; readonly name: string}
		| {readonly kind: 'anyone'};

/** A request whose body has been read whole. */
export type FrontRequest = {
	/** Given to the caller in the `request-id` header, and part of all log lines. */
	readonly requestId: string;
	readonly principal: Principal;
	/** Values of the `:name` parts of the route's path; a trailing `*rest` takes all that follows. */
	readonly parameters: Readonly<Record<string, string>>;
	readonly query: URLSearchParams;
	readonly body: Uint8Array;
	readonly raw: IncomingMessage;
	/** Monotonic time by which the caller needs the whole answer. */
	readonly deadline: number;
	/** Aborted when the caller goes away. */
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

/** The HTTP front of a daemon. */
export type Front = {
	readonly register: (route: Route) => void;
};

/** The daemon's front. */
export const frontKey = createServiceKey<Front>('front');
