/**
 * Table of suspects: requests during which backend servers crashed. Crashes can be merged in any order, so that daemons may
 * learn of a crash from a direct call, from gossip or from the store, whichever comes first.
 */
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import type {Isolation} from './suspect-guard.js';

/** A crash of a backend server while it ran a request. */
export type Crash = {
	/** Identifies the content of the request. */
	readonly fingerprint: string;
	/** Unique per crash and request: one crash of a server gives one entry for each request that it ran. */
	readonly crashId: string;
	/** The backend server that crashed. */
	readonly serverId: string;
	/** Milliseconds since the Unix epoch, by the clock of the daemon that detected the crash. */
	readonly at: number;
	/** The request ran in isolation, so no other request can have caused the crash. */
	readonly alone: boolean;
	/** The request has completed since then, so it did not cause the crash. */
	readonly acquitted: boolean;
};

/** The suspects known to one daemon. */
export type SuspectTable = {
	/** Merges crashes; returns those that changed the table. */
	readonly add: (crashes: readonly Crash[], now: number) => readonly Crash[];
	/** Returns how a request may run; fails with `suspect` when it is permanently refused. */
	readonly check: (fingerprint: string, now: number) => Result<Isolation, Failure>;
	/** Clears a request that completed; returns the crashes that changed. A permanently refused request stays refused. */
	readonly acquit: (fingerprint: string, now: number) => readonly Crash[];
	/** The newest crashes. */
	readonly recent: (count: number) => readonly Crash[];
	readonly list: () => readonly Crash[];
};

type Entry = Crash & {readonly receivedAt: number};

/** Crashes of backend servers after which a request is permanently refused. */
const CRASHES_TO_REFUSE = 2;
/** Time for which a request with one crash runs only on a server without other requests. */
const ISOLATION_PERIOD_MS = 600_000;
/** Time for which crashes of a request that is not permanently refused are kept. */
const SINGLE_CRASH_RETENTION_MS = 86_400_000;
const MAXIMUM_CRASHES = 10_000;
/** Crash reports about one server within this time are treated as one crash. */
const SAME_CRASH_WINDOW_MS = 2000;

function toCrash(entry: Entry): Crash {
	const {receivedAt, ...crash} = entry;
	return crash;
}

/** Creates an empty table. */
export function createSuspectTable(): SuspectTable {
	const entryByCrashId = new Map<string, Entry>();
	const crashIdsByFingerprint = new Map<string, Set<string>>();
	const crashIdsByServer = new Map<string, Set<string>>();

	function crashesOf(fingerprint: string): readonly Entry[] {
		return [...crashIdsByFingerprint.get(fingerprint) ?? []].flatMap(crashId => entryByCrashId.get(crashId) ?? []).filter(entry => !entry.acquitted);
	}

	function removeFromIndex(index: Map<string, Set<string>>, key: string, crashId: string): void {
		const ids = index.get(key);
		ids?.delete(crashId);
		if (ids?.size === 0) {
			index.delete(key);
		}
	}

	function addToIndex(index: Map<string, Set<string>>, key: string, crashId: string): void {
		const ids = index.get(key) ?? new Set();
		index.set(key, ids.add(crashId));
	}

	function remove(entry: Entry): void {
		entryByCrashId.delete(entry.crashId);
		removeFromIndex(crashIdsByFingerprint, entry.fingerprint, entry.crashId);
		removeFromIndex(crashIdsByServer, entry.serverId, entry.crashId);
	}

	function put(crash: Crash, now: number): void {
		entryByCrashId.delete(crash.crashId);
		entryByCrashId.set(crash.crashId, {...crash, receivedAt: now});
		addToIndex(crashIdsByFingerprint, crash.fingerprint, crash.crashId);
		addToIndex(crashIdsByServer, crash.serverId, crash.crashId);
	}

	/** Lists the other requests that ran on the server when it crashed. Crashes of a server in quick succession can't be distinguished. */
	function listConcurrentFingerprints(crash: Entry): readonly string[] {
		const ids = crash.alone ? [] : [...crashIdsByServer.get(crash.serverId) ?? []];
		return ids
			.flatMap(crashId => entryByCrashId.get(crashId) ?? [])
			.filter(other => !other.acquitted && other.fingerprint !== crash.fingerprint && Math.abs(other.at - crash.at) < SAME_CRASH_WINDOW_MS)
			.map(other => other.fingerprint);
	}

	/** Whether a server crashed while it ran only this request, and another crash is known for the request. */
	function isProvenCause(fingerprint: string): boolean {
		const crashes = crashesOf(fingerprint);
		return crashes.length >= CRASHES_TO_REFUSE && crashes.some(crash => listConcurrentFingerprints(crash).length === 0);
	}

	/** Two crashes suffice, unless for each of them another request is proven to be the cause. */
	function isRefused(fingerprint: string): boolean {
		const crashes = crashesOf(fingerprint);
		return crashes.length >= CRASHES_TO_REFUSE
			&& (isProvenCause(fingerprint) || !crashes.every(crash => listConcurrentFingerprints(crash).some(isProvenCause)));
	}

	function trim(now: number): void {
		const old = [...entryByCrashId.values()].filter(entry => now - entry.receivedAt > SINGLE_CRASH_RETENTION_MS && !isRefused(entry.fingerprint));
		const excess = [...entryByCrashId.values()].slice(0, Math.max(0, entryByCrashId.size - MAXIMUM_CRASHES));
		[...old, ...excess].forEach(remove);
	}

	function isNewCrash(crash: Crash): boolean {
		const known = entryByCrashId.get(crash.crashId);
		return known === undefined || (crash.acquitted && !known.acquitted && !isRefused(crash.fingerprint));
	}

	return {
		add(crashes, now) {
			const newCrashes = crashes.filter(isNewCrash);
			newCrashes.forEach(crash => {
				put(crash, now);
			});
			trim(now);
			return newCrashes;
		},
		check(fingerprint, now) {
			const crashes = crashesOf(fingerprint);
			if (isRefused(fingerprint)) {
				return err(createNotRun('suspect', {step: 'check suspects', peer: 'self'}, `${crashes.length} backend servers crashed while running this request`));
			}

			return ok(crashes.some(crash => now - crash.receivedAt < ISOLATION_PERIOD_MS) ? 'alone' : 'shared');
		},
		acquit(fingerprint, now) {
			if (isRefused(fingerprint)) {
				return [];
			}

			const cleared = crashesOf(fingerprint).map(crash => ({...toCrash(crash), acquitted: true}));
			cleared.forEach(crash => {
				put(crash, now);
			});
			return cleared;
		},
		recent: count => [...entryByCrashId.values()].slice(-count).map(toCrash),
		list: () => [...entryByCrashId.values()].map(toCrash),
	};
}
