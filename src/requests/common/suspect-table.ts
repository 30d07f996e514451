/**
 * What is known of suspects: requests under which backend servers died. Books of different daemons merge in any order, so
 * that a crash reaches every daemon by whichever way is fastest.
 */
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import type {Isolation} from './suspect-guard.js';

/** A backend server died under a request. */
export type Crash = {
	readonly fingerprint: string;
	/** Unique per crash. */
	readonly crashId: string;
	/** The backend server that died. */
	readonly serverId: string;
	/** Milliseconds since the Unix epoch, by the clock of the daemon that saw it. */
	readonly at: number;
	/** The request was isolated, so that no other can be to blame. */
	readonly alone: boolean;
	/** The request was answered in whole since, so that it is not to blame. */
	readonly acquitted: boolean;
};

/** The suspects as one daemon knows them. */
export type SuspectTable = {
	/** Merges crashes; returns those that were news. */
	readonly add: (crashes: readonly Crash[], now: number) => readonly Crash[];
	/** Says how a request may run; fails with `suspect` when it is refused for good. */
	readonly check: (fingerprint: string, now: number) => Result<Isolation, Failure>;
	/** Clears a request that was answered in whole; returns what changed. A request refused for good stays refused. */
	readonly acquit: (fingerprint: string, now: number) => readonly Crash[];
	/** The newest crashes. */
	readonly recent: (count: number) => readonly Crash[];
	readonly list: () => readonly Crash[];
};

type Entry = Crash & {readonly receivedAt: number};

/** Backend servers that may die under a request before it is refused for good. */
const CRASHES_TO_REFUSE = 2;
/** Time for which a request with one crash must run alone. */
const ISOLATION_PERIOD_MS = 600_000;
/** Time for which a single crash is remembered. */
const SINGLE_CRASH_RETENTION_MS = 86_400_000;
const MAXIMUM_CRASHES = 10_000;
/** Crashes of one server that daemons saw within this time are one death. */
const SAME_CRASH_WINDOW_MS = 2000;

function toCrash(entry: Entry): Crash {
	const {receivedAt, ...crash} = entry;
	return crash;
}

/** Creates a book without suspects. */
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

	/** Other requests that ran on the server as it died. Deaths of one server close to each other can't be told apart. */
	function listConcurrentFingerprints(crash: Entry): readonly string[] {
		const ids = crash.alone ? [] : [...crashIdsByServer.get(crash.serverId) ?? []];
		return ids
			.flatMap(crashId => entryByCrashId.get(crashId) ?? [])
			.filter(other => !other.acquitted && other.fingerprint !== crash.fingerprint && Math.abs(other.at - crash.at) < SAME_CRASH_WINDOW_MS)
			.map(other => other.fingerprint);
	}

	/** A server died while it ran this request and no other, and another server died under it as well. */
	function isProvenCause(fingerprint: string): boolean {
		const crashes = crashesOf(fingerprint);
		return crashes.length >= CRASHES_TO_REFUSE && crashes.some(crash => listConcurrentFingerprints(crash).length === 0);
	}

	/** Two crashes are enough, unless others are proven to have caused each of them. */
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
				return err(createNotRun('suspect', {step: 'check suspects', peer: 'self'}, `${crashes.length} backend servers died under this request`));
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
