/** Who is in the fleet, as one daemon sees it. Views differ between daemons; nothing that must be agreed rests on them. */
import type {Event} from '../../base/common/event.js';
import {createServiceKey} from '../../kernel/common/contribution.js';

/** What a member is known to be. Only the member itself raises its incarnation. */
export type MemberState = 'alive' | 'suspect' | 'leaving' | 'dead';

/** A daemon of the fleet. */
export type Member = {
	readonly id: string;
	/** Rises with every start of the daemon and every refutation of a suspicion. */
	readonly incarnation: number;
	readonly state: MemberState;
	readonly address: string;
	readonly peerPort: number;
	readonly availabilityZone: string;
	/** The newest protocol version that the member speaks. */
	readonly protocol: number;
};

/** A small value that a daemon spreads to all others; the highest version per topic and origin wins. */
export type Rumor = {
	readonly topic: string;
	/** What the value is about, such as a daemon or a shard; an empty text for values of the whole fleet. */
	readonly origin: string;
	readonly version: number;
	/** At most a few hundred bytes of JSON. */
	readonly value: string;
};

/** A rumor as it was heard. */
export type HeardRumor = Rumor & {
	/** The member that told it, when it came in a message. */
	readonly via?: string;
};

/** The fleet as this daemon sees it. */
export type Membership = {
	readonly self: () => Member;
	/** All known members, this daemon included, without the dead. */
	readonly members: () => readonly Member[];
	readonly find: (id: string) => Member | undefined;
	/** Fires after members or their states have changed. */
	readonly onDidChange: Event<readonly Member[]>;
	/** Marks this daemon as leaving, so that no new duties go to it. */
	readonly leave: (now: number) => void;
	/** Spreads a value; see {@link Rumor}. */
	readonly spread: (rumor: Rumor) => void;
	/** Lists the newest rumors of a topic. */
	readonly rumors: (topic: string) => readonly Rumor[];
	readonly onDidHear: Event<HeardRumor>;
};

/** The daemon's membership. */
export const membershipKey = createServiceKey<Membership>('membership');
