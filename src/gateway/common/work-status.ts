/**
 * Work that may end while attempts are made for it, such as a batch that a caller ends at another daemon. Whoever sends an attempt for it asks at
 * the moment of the send whether what is known of the work is recent enough.
 */

/** What is known of the work at one moment. */
export type WorkState
	/** The store has confirmed lately that the work goes on; an attempt may begin at a server within this time. */
	= | {readonly kind: 'confirmed'; readonly beginWithinMs: number}
	/** The last read of the store has failed, so this daemon can't tell whether the work goes on. */
		| {readonly kind: 'unconfirmed'}
	/** What is known is too old, and the store may tell more. */
		| {readonly kind: 'outdated'}
		| {readonly kind: 'ended'};

/** Whether an attempt is sent over the daemon's own links or over another daemon. */
export type SendPath = 'direct' | 'relayed';

/** Tells whether attempts may be sent for some work. */
export type WorkStatus = {
	readonly read: (path: SendPath, now: number) => WorkState;
	/** Reads the store if the state is outdated. Calls at the same time share one read. */
	readonly refresh: (path: SendPath) => Promise<void>;
};

/** The states in which an attempt may be sent. */
export type SendableState = Extract<WorkState, {readonly kind: 'confirmed' | 'unconfirmed'}>;

/** Whether an attempt may be sent. While the store doesn't answer, nobody whom it doesn't answer either can end the work. */
export function maySendIn(state: WorkState): state is SendableState {
	return state.kind === 'confirmed' || state.kind === 'unconfirmed';
}
