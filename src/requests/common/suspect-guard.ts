/** Interface through which the execution of requests checks and reports suspects: requests during which backend servers crashed. */
import {ok, type Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import {createServiceKey} from '../../kernel/common/contribution.js';
import type {BackendServer} from '../../routing/common/router.js';

/** How a request may run: on a server with other requests, on one that runs nothing else, or once more, after its refusal has ended, to see whether it still crashes a server. */
export type Isolation = 'shared' | 'alone' | 'trial';

/** An attempt whose connection broke after the request had been sent. */
export type BrokenAttempt = {
	readonly fingerprint: string;
	readonly server: BackendServer;
	/** Monotonic time at which the attempt started, which is at or shortly before the time the request was sent. */
	readonly sentAt: number;
	/** How the request ran. */
	readonly isolation: Isolation;
};

/** Guards backend servers against requests that crash them. */
export type SuspectGuard = {
	/** Returns how the request may run; fails with `suspect` when it is permanently refused. */
	readonly check: (fingerprint: string, now: number) => Result<Isolation, Failure>;
	/**
	 * Waits until a reserved server runs no request of any daemon; false when it does not become idle in time. A crash of an
	 * isolated request is attributed to that request only.
	 */
	readonly isolate: (server: BackendServer, deadline: number) => Promise<boolean>;
	/** Reports that a connection broke during the request; resolves within a bounded time, normally once the owner has the report. */
	readonly recordBrokenAttempt: (attempt: BrokenAttempt, now: number) => Promise<void>;
	/** Reports that the request completed. */
	readonly recordCompleted: (fingerprint: string, now: number) => void;
};

/** Service key of the daemon's guard, for features that send requests to backend servers themselves. */
export const suspectGuardKey = createServiceKey<SuspectGuard>('suspect-guard');

/** A guard that allows every request and records nothing. */
export const permissiveGuard: SuspectGuard = {
	check: () => ok('shared'),
	isolate: async () => true,
	recordBrokenAttempt: async () => undefined,
	recordCompleted: () => undefined,
};
