/** The part of the membership that a daemon saves in the data folder: the addresses of its peers and its own last incarnation. */
import {z} from 'zod';
import type {PeerAddress} from '../../peers/common/peers.js';
import type {Member} from './membership.js';

const memberSnapshot = z.object({
	incarnation: z.number(),
	peers: z.array(z.object({address: z.string(), peerPort: z.number()})).readonly(),
}).readonly();

/** A decoded snapshot. */
export type MemberSnapshot = {
	readonly incarnation: number;
	readonly peers: readonly PeerAddress[];
};

const emptySnapshot: MemberSnapshot = {incarnation: 0, peers: []};

/** Encodes a snapshot as JSON. */
export function renderMemberSnapshot(self: Member, members: readonly Member[]): string {
	const peers = members.filter(member => member.id !== self.id).map(({address, peerPort}) => ({address, peerPort}));
	return JSON.stringify({incarnation: self.incarnation, peers});
}

/** Decodes a snapshot. A missing or invalid snapshot is read as empty. */
export function parseMemberSnapshot(text: string | undefined): MemberSnapshot {
	try {
		return memberSnapshot.parse(JSON.parse(text ?? ''));
	} catch {
		return emptySnapshot;
	}
}

/** Chooses the incarnation of a starting daemon: higher than the last one, also when the wall clock was set back. */
export function chooseIncarnation(wallMs: number, last: number): number {
	return Math.max(Math.floor(wallMs), last + 1);
}
