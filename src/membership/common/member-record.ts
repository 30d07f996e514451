/** Records of members and rumors as daemons exchange them, and the order that decides which of two records is newer. */
import type {Message} from '@bufbuild/protobuf';
import type {Member, MemberState, Rumor} from './membership.js';

/** Fields that a newer version of the protocol added. They are kept so that records are forwarded complete. */
export type UnknownFields = Message['$unknown'];

/** A record of a member as daemons exchange it. */
export type MemberRecord = Member & {readonly unknown?: UnknownFields};

/** A rumor as daemons exchange it. */
export type RumorRecord = Rumor & {readonly unknown?: UnknownFields};

/** Protocol version of this program. */
export const PROTOCOL_VERSION = 1;

/** The oldest protocol version that this program accepts from peers. */
export const OLDEST_PROTOCOL_VERSION = 1;

const statePrecedence: Readonly<Record<MemberState, number>> = {
	alive: 0, leaving: 1, suspect: 2, dead: 3,
};

/**
 * Whether a record replaces the known record of the same member. The higher incarnation takes precedence, because only the
 * member itself raises it; within one incarnation the state with the higher value in `statePrecedence` does.
 */
export function isNewerRecord(candidate: Member, known: Member | undefined): boolean {
	if (known === undefined) {
		return true;
	}

	return candidate.incarnation === known.incarnation
		? statePrecedence[candidate.state] > statePrecedence[known.state]
		: candidate.incarnation > known.incarnation;
}

/** Returns the key of a rumor. Per key, the rumor with the highest version is kept. */
export function keyOfRumor(rumor: Pick<Rumor, 'topic' | 'origin'>): string {
	return `${rumor.topic}/${rumor.origin}`;
}
