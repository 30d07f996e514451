/** One daemon's knowledge of a member, and which of two reports about a member is the newer one. */
import type {Message} from '@bufbuild/protobuf';
import type {Member, MemberState, Rumor} from './membership.js';

/** Fields that a newer version of the protocol has added; kept so that reports are forwarded whole. */
export type UnknownFields = Message['$unknown'];

/** A report about a member as it travels between daemons. */
export type MemberRecord = Member & {readonly unknown?: UnknownFields};

/** A rumor as it travels between daemons. */
export type RumorRecord = Rumor & {readonly unknown?: UnknownFields};

/** The protocol version that this program speaks. */
export const PROTOCOL_VERSION = 1;

/** The oldest protocol version that this program still understands. */
export const OLDEST_PROTOCOL_VERSION = 1;

const statePrecedence: Readonly<Record<MemberState, number>> = {
	alive: 0, leaving: 1, suspect: 2, dead: 3,
};

/**
 * Tells whether a report replaces another one about the same member. The higher incarnation wins, because only the
 * member itself raises it; within one incarnation the worse state wins.
 */
export function isNewerRecord(candidate: Member, known: Member | undefined): boolean {
	if (known === undefined) {
		return true;
	}

	return candidate.incarnation === known.incarnation
		? statePrecedence[candidate.state] > statePrecedence[known.state]
		: candidate.incarnation > known.incarnation;
}

/** Returns the key of a rumor: the highest version per key wins. */
export function keyOfRumor(rumor: Pick<Rumor, 'topic' | 'origin'>): string {
	return `${rumor.topic}/${rumor.origin}`;
}
