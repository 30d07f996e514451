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
	/** Other servers, which did not run the request, crashed at about the same time, so the crash says less about it. */
	readonly isCommon?: boolean;
	/** The acquittal also counts while the request is refused: it completed a trial, or the server did not crash after all. */
	readonly isCleared?: boolean;
	/** Stands for a trial, which is recorded before it begins and withdrawn when no server crashed. */
	readonly isTrial?: boolean;
};

/** When a request is refused, and for how long. */
export type SuspectRules = {
	/** Crashes of backend servers after which a request is refused. */
	readonly crashesToRefuse: number;
	/** Whether a request runs alone after its first crash. If so, a crash of several requests is blamed on one that crashed another server alone. */
	readonly isolatesSuspects: boolean;
	/** Time for which a request is refused after its last crash, in milliseconds; infinite for a permanent refusal. */
	readonly refusalMs: number;
	/** The same for a request most of whose crashes were common ones. */
	readonly commonRefusalMs: number;
	/** Factor by which each trial extends the refusal. Further crashes don't, as one fault can end several servers that run the same content. */
	readonly refusalGrowth: number;
	/** Trials after which the request is refused for `MAXIMUM_REFUSAL_MS`, as each may crash another server. */
	readonly maximumTrials: number;
};

/** The suspects known to one daemon. */
export type SuspectTable = {
	/** Merges crashes; returns those that changed the table. */
	readonly add: (crashes: readonly Crash[], now: number) => readonly Crash[];
	/** Returns how a request may run; fails with `suspect` when it is permanently refused. */
	readonly check: (fingerprint: string, now: number) => Result<Isolation, Failure>;
	/** Clears a request that completed; returns the crashes that changed. A refused request stays refused until its refusal ends, unless it completed a trial. */
	readonly acquit: (fingerprint: string, now: number, isTrial?: boolean) => readonly Crash[];
	/** Clears single crashes that were none, by id; returns those that changed. */
	readonly withdraw: (crashIds: readonly string[], now: number) => readonly Crash[];
	/** The crashes of one server. */
	readonly listByServer: (serverId: string) => readonly Crash[];
	/** The crashes of one request, with those it was acquitted of. */
	readonly find: (fingerprint: string) => readonly Crash[];
	/** Whether the table is empty. */
	readonly isEmpty: () => boolean;
	/** The newest crashes. */
	readonly recent: (count: number) => readonly Crash[];
	readonly list: () => readonly Crash[];
};

type Entry = Crash & {readonly receivedAt: number};

/** Rules for requests that run alone after their first crash: the second crash has no other cause, so the refusal is permanent. */
export const permanentRefusal: SuspectRules = {
	crashesToRefuse: 2, isolatesSuspects: true, refusalMs: Number.POSITIVE_INFINITY, commonRefusalMs: Number.POSITIVE_INFINITY, refusalGrowth: 1, maximumTrials: 0,
};

/** Maximum duration of a refusal that ends. */
const MAXIMUM_REFUSAL_MS = 86_400_000;
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
export function createSuspectTable(rules: SuspectRules = permanentRefusal): SuspectTable {
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
		return crashes.length >= rules.crashesToRefuse && crashes.some(crash => listConcurrentFingerprints(crash).length === 0);
	}

	/** Whether a request has crashed enough servers, unless for each of them another request is proven to be the cause. */
	function isGuilty(fingerprint: string): boolean {
		const crashes = crashesOf(fingerprint);
		return crashes.length >= rules.crashesToRefuse
			&& (!rules.isolatesSuspects || isProvenCause(fingerprint) || !crashes.every(crash => listConcurrentFingerprints(crash).some(isProvenCause)));
	}

	/** Time at which the refusal of a guilty request ends. */
	function refusedUntil(fingerprint: string): number {
		const crashes = crashesOf(fingerprint);
		const ownCrashes = crashes.filter(crash => crash.isCommon !== true && crash.isTrial !== true).length;
		const trials = crashes.filter(crash => crash.isTrial === true).length;
		const firstMs = ownCrashes >= rules.crashesToRefuse - 1 ? rules.refusalMs : rules.commonRefusalMs;
		const durationMs = trials > 0 && trials >= rules.maximumTrials ? Math.max(firstMs, MAXIMUM_REFUSAL_MS) : firstMs * (rules.refusalGrowth ** trials);
		const lastAt = Math.max(...crashes.map(crash => crash.receivedAt));
		return lastAt + (Number.isFinite(durationMs) ? Math.min(durationMs, MAXIMUM_REFUSAL_MS) : durationMs);
	}

	function isRefused(fingerprint: string, now: number): boolean {
		return isGuilty(fingerprint) && now < refusedUntil(fingerprint);
	}

	function trim(now: number): void {
		const old = [...entryByCrashId.values()].filter(entry => now - entry.receivedAt > SINGLE_CRASH_RETENTION_MS && !isRefused(entry.fingerprint, now));
		const excess = [...entryByCrashId.values()].slice(0, Math.max(0, entryByCrashId.size - MAXIMUM_CRASHES));
		[...old, ...excess].forEach(remove);
	}

	function isNewCrash(crash: Crash, now: number): boolean {
		const known = entryByCrashId.get(crash.crashId);
		return known === undefined || (crash.acquitted && !known.acquitted && (crash.isCleared === true || !isRefused(crash.fingerprint, now)));
	}

	function clear(crashes: readonly Entry[], isCleared: boolean, now: number): readonly Crash[] {
		const cleared = crashes.map(crash => ({...toCrash(crash), acquitted: true, ...(isCleared && {isCleared})}));
		cleared.forEach(crash => {
			put(crash, now);
		});
		return cleared;
	}

	return {
		add(crashes, now) {
			const newCrashes = crashes.filter(crash => isNewCrash(crash, now));
			newCrashes.forEach(crash => {
				put(crash, now);
			});
			trim(now);
			return newCrashes;
		},
		check(fingerprint, now) {
			const crashes = crashesOf(fingerprint);
			if (isRefused(fingerprint, now)) {
				const remainingMs = refusedUntil(fingerprint) - now;
				const message = `${crashes.length} backend servers crashed while running this request`;
				return err(createNotRun('suspect', {step: 'check suspects', peer: 'self'}, message, Number.isFinite(remainingMs) ? remainingMs : undefined));
			}

			if (isGuilty(fingerprint)) {
				return ok('trial');
			}

			return ok(rules.isolatesSuspects && crashes.some(crash => now - crash.receivedAt < ISOLATION_PERIOD_MS) ? 'alone' : 'shared');
		},
		acquit(fingerprint, now, isTrial = false) {
			return !isTrial && isRefused(fingerprint, now) ? [] : clear(crashesOf(fingerprint), isTrial, now);
		},
		withdraw(crashIds, now) {
			return clear(crashIds.flatMap(crashId => entryByCrashId.get(crashId) ?? []).filter(crash => !crash.acquitted), true, now);
		},
		listByServer: serverId => [...crashIdsByServer.get(serverId) ?? []].flatMap(crashId => entryByCrashId.get(crashId) ?? []).map(toCrash),
		find: fingerprint => [...crashIdsByFingerprint.get(fingerprint) ?? []].flatMap(crashId => entryByCrashId.get(crashId) ?? []).map(toCrash),
		isEmpty: () => entryByCrashId.size === 0,
		recent: count => [...entryByCrashId.values()].slice(-count).map(toCrash),
		list: () => [...entryByCrashId.values()].map(toCrash),
	};
}
