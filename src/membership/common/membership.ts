/** The members of the fleet as one daemon sees them. Views differ between daemons, so nothing that needs agreement may depend on them. */
import type {Event} from '../../base/common/event.js';
import {createServiceKey} from '../../kernel/common/contribution.js';

/** Known state of a member. */
export type MemberState = 'alive' | 'suspect' | 'leaving' | 'dead';

/** A daemon of the fleet. */
export type Member = {
	readonly id: string;
	/** Rises with each start of the daemon and each refutation of a suspicion. Only the member itself raises it. */
	readonly incarnation: number;
	readonly state: MemberState;
	readonly address: string;
	readonly peerPort: number;
	readonly availabilityZone: string;
	/** The newest protocol version that the member supports. */
	readonly protocol: number;
};

/** A small value that a daemon spreads to all others. Per topic and origin, the value with the highest version is kept. */
export type Rumor = {
	readonly topic: string;
	/** Id of the subject of the value, such as a daemon or a shard; an empty text for values about the whole fleet. */
	readonly origin: string;
	readonly version: number;
	/** JSON of at most a few hundred bytes. */
	readonly value: string;
};

/** A rumor as this daemon received it. */
export type ReceivedRumor = Rumor & {
	/** Id of the member that sent it in a message; undefined if it came with a pulled bucket. */
	readonly via?: string;
};

/** The fleet as this daemon sees it. */
export type Membership = {
	readonly self: () => Member;
	/** All known members including this daemon, without dead ones. */
	readonly members: () => readonly Member[];
	readonly find: (id: string) => Member | undefined;
	/** Fires after members or their states have changed. */
	readonly onDidChange: Event<readonly Member[]>;
	/** Marks this daemon as leaving, so that it gets no new work. */
	readonly leave: (now: number) => void;
	/** Spreads a value; see {@link Rumor}. */
	readonly spread: (rumor: Rumor) => void;
	/** Lists the newest rumors of a topic. */
	readonly rumors: (topic: string) => readonly Rumor[];
	/** Fires for each new rumor that this daemon receives from a peer. */
	readonly onDidReceiveRumor: Event<ReceivedRumor>;
};

/** The daemon's membership. */
export const membershipKey = createServiceKey<Membership>('membership');
