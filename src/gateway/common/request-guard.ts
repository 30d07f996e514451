/** Interface through which forwarders report the attempts of callers' requests, so that requests that crash servers are recognized. */

/** A request of a caller, as far as the guard needs it. */
export type GuardedRequest = {
	readonly requestId: string;
	/** Computes the fingerprint of the request's content; undefined for requests that never count as the cause of a crash. */
	readonly fingerprint: (() => string) | undefined;
};

/** How an attempt ended: with a complete response of a server that ran it, with a broken connection, or in a way that says nothing. */
export type AttemptOutcome = 'completed' | 'broken' | 'unclear';

/** Follows the attempts of one daemon. */
export type RequestGuard = {
	/** Records that an attempt is about to be sent. The returned function records its end; its promise resolves within a bounded time. */
	readonly begin: (request: GuardedRequest, serverId: string) => (outcome: AttemptOutcome) => Promise<void>;
};

/** A guard that records nothing. */
export const permissiveRequestGuard: RequestGuard = {
	begin: () => async () => undefined,
};
