/** Interface through which forwarders keep requests that crash servers away from them. */
import {ok, type Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';

/** A request of a caller, as far as the guard needs it. */
export type GuardedRequest = {
	readonly requestId: string;
	/** Computes the fingerprint of the request's content; undefined for requests that never count as the cause of a crash. */
	readonly fingerprint: (() => string) | undefined;
};

/** How an attempt ended. */
export type AttemptOutcome
	/** With a complete response of a server that ran the request. */
	= | 'completed'
	/** With a broken connection. */
		| 'broken'
	/** Without a response: the deadline passed, or the caller left first. */
		| 'silent'
	/** In a way that says nothing about the server. */
		| 'unclear';

/** Guards the servers of one daemon. */
export type RequestGuard = {
	/** Whether a request may be sent to a server; the failure says when it may be sent again. */
	readonly admit: (request: GuardedRequest) => Promise<Result<Admission, Failure>>;
	/** Whether an admission still holds, after the request has waited for a server. */
	readonly confirm: (request: GuardedRequest, admission: Admission, now: number) => Result<void, Failure>;
	/** Records that no attempt follows on an admission. */
	readonly cancel: (admission: Admission) => void;
	/** Records that an attempt is about to be sent. The returned function records its end; its promise resolves within a bounded time, when `admit` takes the end into account. */
	readonly begin: (request: GuardedRequest, serverId: string, admission: Admission) => (outcome: AttemptOutcome) => Promise<void>;
};

/** Allows one attempt. */
export type Admission = {
	/** Id of the trial; undefined for requests that are not refused. A trial runs at one server only. */
	readonly trialId: string | undefined;
};

/** Admits requests that no crash is known of. */
export const openAdmission: Admission = {trialId: undefined};

/** A guard that allows every request and records nothing. */
export const permissiveRequestGuard: RequestGuard = {
	admit: async () => ok(openAdmission),
	confirm: () => ok(),
	cancel: () => undefined,
	begin: () => async () => undefined,
};
