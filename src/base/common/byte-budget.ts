/**
 * Limits the total bytes of all messages in progress. When the total is too large, the message that has occupied the most
 * bytes for the longest time is aborted: an ordinary message may be large or take long, but one that is stopped or sent
 * very slowly is both after a while.
 */

/** One message in progress. */
export type BytesHeld = {
	/** Counts further bytes; may abort this message or another one. */
	readonly add: (bytes: number, now: number) => void;
	/** Sets the bytes that the message holds now; may abort this message or another one. */
	readonly set: (bytes: number, now: number) => void;
	/** Excludes the message from being aborted, while its bytes still count. */
	readonly keep: () => void;
	/** Stops counting the message, when it is complete or was abandoned. */
	readonly release: () => void;
};

/** The bytes of all messages in progress. */
export type ByteBudget = {
	/** Starts counting a message; `onExceeded` is called at most once, when the message must be aborted. */
	readonly open: (onExceeded: (reason: string) => void, now: number) => BytesHeld;
	/** Total bytes of the messages in progress. */
	readonly held: () => number;
	readonly maximumBytes: () => number;
	/** Changes the limit; what is held already is not aborted by it. */
	readonly setMaximumBytes: (bytes: number) => void;
	/** Registers a listener that is called with the bytes of each message that is no longer counted. */
	readonly onDidFree: (listener: (bytes: number) => void) => void;
	/** Number of messages aborted so far. */
	readonly abortedCount: () => number;
};

type Message = {
	bytes: number;
	isKept: boolean;
	readonly openedAt: number;
	readonly onExceeded: (reason: string) => void;
};

/** Age that each message counts as having at least, in milliseconds, so that the size decides between messages that have just begun. */
const MINIMUM_AGE_MS = 100;

function computeOccupation({bytes, openedAt}: Message, now: number): number {
	return bytes * (Math.max(0, now - openedAt) + MINIMUM_AGE_MS);
}

/** Creates a budget of `initialMaximumBytes` in total for all messages. Times are monotonic, in milliseconds. */
export function createByteBudget(initialMaximumBytes: number): ByteBudget {
	const messages = new Set<Message>();
	let maximumBytes = initialMaximumBytes;
	let totalBytes = 0;
	let abortedCount = 0;
	const listeners: Array<(bytes: number) => void> = [];

	function remove(message: Message): void {
		if (messages.delete(message)) {
			totalBytes -= message.bytes;
			listeners.forEach(listener => {
				listener(message.bytes);
			});
		}
	}

	function abortWhileExceeded(now: number): void {
		if (totalBytes <= maximumBytes) {
			return;
		}

		const candidates = [...messages].filter(message => !message.isKept && message.bytes > 0);
		const [first, ...others] = candidates;
		if (first === undefined) {
			return;
		}

		const chosen = others.reduce((best, candidate) => (computeOccupation(candidate, now) > computeOccupation(best, now) ? candidate : best), first);
		remove(chosen);
		abortedCount += 1;
		chosen.onExceeded(`messages in progress hold more than ${maximumBytes} bytes in total, and this one has held the most for the longest time`);
		abortWhileExceeded(now);
	}

	return {
		open(onExceeded, now) {
			const message: Message = {
				bytes: 0, isKept: false, openedAt: now, onExceeded,
			};
			messages.add(message);
			const set = (bytes: number, at: number): void => {
				if (messages.has(message)) {
					totalBytes += bytes - message.bytes;
					message.bytes = bytes;
					abortWhileExceeded(at);
				}
			};

			return {
				add(bytes, at) {
					set(message.bytes + bytes, at);
				},
				set,
				keep() {
					message.isKept = true;
				},
				release() {
					remove(message);
				},
			};
		},
		held: () => totalBytes,
		maximumBytes: () => maximumBytes,
		setMaximumBytes(bytes) {
			maximumBytes = bytes;
		},
		onDidFree(listener) {
			listeners.push(listener);
		},
		abortedCount: () => abortedCount,
	};
}
