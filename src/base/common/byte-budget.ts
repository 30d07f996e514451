/** Bounds the bytes that all messages in progress hold together: when the sum is too large, the largest message ends. */

/** One message in progress. */
export type BytesHeld = {
	/** Counts further bytes; may end this message or another one. */
	readonly add: (bytes: number) => void;
	/** The message is complete or was given up; its bytes count no more. */
	readonly release: () => void;
};

/** The bytes of all messages in progress. */
export type ByteBudget = {
	/** Begins to count a message; `onExceeded` is called at most once, when it must end. */
	readonly open: (onExceeded: (reason: string) => void) => BytesHeld;
	/** Bytes held now. */
	readonly held: () => number;
};

/** Creates a budget of `maximumBytes` for all messages together. */
export function createByteBudget(maximumBytes: number): ByteBudget {
	const messages = new Map<number, {bytes: number; readonly onExceeded: (reason: string) => void}>();
	let opened = 0;
	let sum = 0;

	function remove(key: number): void {
		sum -= messages.get(key)?.bytes ?? 0;
		messages.delete(key);
	}

	function endLargest(): void {
		const largest = [...messages].reduce((best, candidate) => (candidate[1].bytes > best[1].bytes ? candidate : best));
		remove(largest[0]);
		largest[1].onExceeded(`messages in progress hold more than ${maximumBytes} bytes, and this one most`);
	}

	return {
		open(onExceeded) {
			opened += 1;
			const key = opened;
			messages.set(key, {bytes: 0, onExceeded});
			return {
				add(bytes) {
					const message = messages.get(key);
					if (message === undefined) {
						return;
					}

					message.bytes += bytes;
					sum += bytes;
					if (sum > maximumBytes) {
						endLargest();
					}
				},
				release() {
					remove(key);
				},
			};
		},
		held: () => sum,
	};
}
