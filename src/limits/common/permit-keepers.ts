/**
 * Decides which daemon grants the permits of a server with a limit: its keeper. All daemons rank the candidates alike, and the first
 * reachable one is the keeper. A daemon that is not first passes requests on to those before it, and grants permits itself only
 * while none of them answers it. Where one of them may still be granting permits, unseen, it grants only a part of the limit.
 */
import {rankByRendezvous} from '../../base/common/hash.js';
import type {PeerDaemon} from '../../peers/common/peer-mesh.js';

/** What one daemon knows about the reachability of others. */
export type KeeperReachability = {
	readonly recordReply: (name: string, now: number) => void;
	/** Records a failed call. `hasEnded` tells that the daemon's process has certainly ended or does not grant permits yet. */
	readonly recordFailure: (name: string, hasEnded: boolean, now: number) => void;
	/** Whether a daemon failed so recently that it is not called again yet. */
	readonly isSkipped: (name: string, now: number) => boolean;
	/** Whether a daemon that does not reply may still grant permits to others. */
	readonly mayGrant: (name: string, now: number) => boolean;
};

/** Who grants the permits of a server, as seen by one daemon. */
export type KeeperChoice
	= | {readonly kind: 'peer'; readonly daemon: PeerDaemon}
	/** This daemon does, with the given share of the limit. */
		| {readonly kind: 'self'; readonly rateShare: number};

/** A daemon that failed is called again after this time. */
const SKIP_MS = 3000;
/** A daemon that has not replied for this long no longer grants permits to others, as far as others still reach it. */
const GONE_AFTER_MS = 30_000;
/** Share of the limit that is granted while a daemon of a higher rank may be granting all of it. */
export const CONTESTED_RATE_SHARE = 0.25;

type FailureRecord = {
	readonly since: number;
	readonly lastAt: number;
	readonly hasEnded: boolean;
};

/** Creates the records of a daemon to which all others are reachable. */
export function createKeeperReachability(): KeeperReachability {
	const failureByName = new Map<string, FailureRecord>();
	return {
		recordReply(name) {
			failureByName.delete(name);
		},
		recordFailure(name, hasEnded, now) {
			failureByName.set(name, {since: failureByName.get(name)?.since ?? now, lastAt: now, hasEnded});
		},
		isSkipped(name, now) {
			const failure = failureByName.get(name);
			return failure !== undefined && now - failure.lastAt < SKIP_MS;
		},
		mayGrant(name, now) {
			const failure = failureByName.get(name);
			return failure === undefined || !(failure.hasEnded || now - failure.since > GONE_AFTER_MS);
		},
	};
}

/** Ranks the candidates for a server. Daemons of the server's region go first, because most of its requests come through them. */
export function rankKeepers(serverId: string, region: string | undefined, daemons: readonly PeerDaemon[]): readonly PeerDaemon[] {
	const ranked = rankByRendezvous(`limit of ${serverId}`, daemons, daemon => daemon.name);
	return [...ranked.filter(daemon => daemon.region === region), ...ranked.filter(daemon => daemon.region !== region)];
}

/** Chooses the keeper from a ranking that contains the daemon `self`. */
export function chooseKeeper(ranked: readonly PeerDaemon[], self: string, reachability: KeeperReachability, now: number): KeeperChoice {
	const before = ranked.slice(0, Math.max(0, ranked.findIndex(daemon => daemon.name === self)));
	const peer = before.find(daemon => !reachability.isSkipped(daemon.name, now));
	if (peer !== undefined) {
		return {kind: 'peer', daemon: peer};
	}

	return {kind: 'self', rateShare: before.some(daemon => reachability.mayGrant(daemon.name, now)) ? CONTESTED_RATE_SHARE : 1};
}
