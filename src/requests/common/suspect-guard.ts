/** What the running of requests needs to know of suspects: requests under which backend servers died. */
import {ok, type Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import {createServiceKey} from '../../kernel/common/contribution.js';
import type {BackendServer} from '../../routing/common/router.js';

/** How a request may run: as any other, or on a server that runs nothing else. */
export type Isolation = 'shared' | 'alone';

/** An attempt whose connection broke after the request had been sent. */
export type BrokenAttempt = {
	readonly fingerprint: string;
	readonly server: BackendServer;
	/** When the request was sent, or a little earlier, on the daemon's monotonic clock. */
	readonly sentAt: number;
	/** How the request ran. */
	readonly isolation: Isolation;
};

/** Guards backend servers against requests that crash them. */
export type SuspectGuard = {
	/** Says how the request may run; `suspect` when it is refused for good. */
	readonly check: (fingerprint: string, now: number) => Result<Isolation, Failure>;
	/**
	 * Waits until a reserved server runs nothing else, on any daemon; false when it does not become empty in time. What
	 * dies alone is to blame, and nothing else is blamed with it.
	 */
	readonly isolate: (server: BackendServer, deadline: number) => Promise<boolean>;
	/** Tells that a connection broke under the request; resolves when the request's owner knows, within bounded time. */
	readonly recordBrokenAttempt: (attempt: BrokenAttempt, now: number) => Promise<void>;
	/** Tells that the request was answered in whole. */
	readonly recordCompleted: (fingerprint: string, now: number) => void;
};

/** The daemon's guard, for features that run requests at backend servers themselves. */
export const suspectGuardKey = createServiceKey<SuspectGuard>('suspect-guard');

/** A guard that suspects nothing. */
export const trustingGuard: SuspectGuard = {
	check: () => ok('shared'),
	isolate: async () => true,
	recordBrokenAttempt: async () => undefined,
	recordCompleted: () => undefined,
};
