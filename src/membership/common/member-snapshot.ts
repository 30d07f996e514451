/** What a daemon keeps of its membership in the data folder: where its peers were, and its own last incarnation. */
import {z} from 'zod';
import type {PeerAddress} from '../../peers/common/peers.js';
import type {Member} from './membership.js';

const memberSnapshot = z.object({
	incarnation: z.number(),
	peers: z.array(z.object({address: z.string(), peerPort: z.number()})).readonly(),
}).readonly();

/** A snapshot as read back. */
export type MemberSnapshot = {
	readonly incarnation: number;
	readonly peers: readonly PeerAddress[];
};

const nothing: MemberSnapshot = {incarnation: 0, peers: []};

/** Renders a snapshot. */
export function renderMemberSnapshot(self: Member, members: readonly Member[]): string {
	const peers = members.filter(member => member.id !== self.id).map(({address, peerPort}) => ({address, peerPort}));
	return JSON.stringify({incarnation: self.incarnation, peers});
}

/** Reads a snapshot; one that is missing or cannot be understood is empty. */
export function parseMemberSnapshot(text: string | undefined): MemberSnapshot {
	try {
		return memberSnapshot.parse(JSON.parse(text ?? ''));
	} catch {
		return nothing;
	}
}

/** Chooses the incarnation of a start: later than the last one, also when the wall clock was set back. */
export function chooseIncarnation(wallMs: number, last: number): number {
	return Math.max(Math.floor(wallMs), last + 1);
}
