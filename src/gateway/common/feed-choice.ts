/** Decides whether a daemon follows the store itself or another daemon that does, so that calls to the store grow slowly. */
import {rankByRendezvous} from '../../base/common/hash.js';
import {listStrong} from '../../peers/common/strong-daemons.js';
import type {PeerDaemon} from '../../peers/common/peer-mesh.js';

/** Largest number of daemons that follow one daemon; larger regions are divided by availability zone. */
const LARGEST_GROUP = 30;
/** A daemon that failed as a source is passed over for this long; the time doubles with each further failure. */
const FIRST_PASS_MS = 4000;
const LONGEST_PASS_MS = 60_000;

/** Failures of sources. */
export type SourceBook = {
	readonly fail: (name: string, now: number) => void;
	readonly succeed: (name: string) => void;
	readonly isPassedOver: (name: string, now: number) => boolean;
};

/** Creates a book without failures. */
export function createSourceBook(): SourceBook {
	const failures = new Map<string, {readonly passMs: number; readonly until: number}>();
	return {
		fail(name, now) {
			const passMs = Math.min(LONGEST_PASS_MS, 2 * (failures.get(name)?.passMs ?? FIRST_PASS_MS / 2));
			failures.set(name, {passMs, until: now + passMs});
		},
		succeed(name) {
			failures.delete(name);
		},
		isPassedOver: (name, now) => now < (failures.get(name)?.until ?? Number.NEGATIVE_INFINITY),
	};
}

/** Chooses the daemon to follow; undefined means to follow the store itself. */
export function chooseSource(self: PeerDaemon, others: readonly PeerDaemon[], book: SourceBook, now: number): PeerDaemon | undefined {
	const region = others.filter(daemon => daemon.region === self.region);
	const group = region.length < LARGEST_GROUP ? region : region.filter(daemon => daemon.availabilityZone === self.availabilityZone);
	const members = [self, ...group];
	const strong = listStrong(members);
	// A source answers all daemons of its group, so those on strong VMs come first.
	const ranked = rankByRendezvous('feed', members, daemon => daemon.name).toSorted((a, b) => Number(strong.includes(b)) - Number(strong.includes(a)));
	const first = ranked.find(daemon => daemon.name === self.name || !book.isPassedOver(daemon.name, now));
	return first === undefined || first.name === self.name ? undefined : first;
}

/** Whether what a source told is still fresh. `confirmedAt` is when the source last heard from the store. */
export function isFresh(confirmedAt: number, now: number, drainMs: number): boolean {
	return now - confirmedAt < drainMs * FRESH_SHARE;
}

/** Share of the time to leave a leaving server within which the store must have been heard of; the rest is for asking it. */
const FRESH_SHARE = 0.66;
