/** Limits the total bytes of all messages in progress: when the total is too large, the largest message is aborted. */

/** One message in progress. */
export type BytesHeld = {
	/** Counts further bytes; may abort this message or another one. */
	readonly add: (bytes: number) => void;
	/** Stops counting the message, when it is complete or was abandoned. */
	readonly release: () => void;
};

/** The bytes of all messages in progress. */
export type ByteBudget = {
	/** Starts counting a message; `onExceeded` is called at most once, when the message must be aborted. */
	readonly open: (onExceeded: (reason: string) => void) => BytesHeld;
	/** Total bytes of the messages in progress. */
	readonly held: () => number;
};

/** Creates a budget of `maximumBytes` in total for all messages. */
export function createByteBudget(maximumBytes: number): ByteBudget {
	const messages = new Map<number, {bytes: number; readonly onExceeded: (reason: string) => void}>();
	let lastKey = 0;
	let totalBytes = 0;

	function remove(key: number): void {
		totalBytes -= messages.get(key)?.bytes ?? 0;
		messages.delete(key);
	}

	function abortLargest(): void {
		const largest = [...messages].reduce((best, candidate) => (candidate[1].bytes > best[1].bytes ? candidate : best));
		remove(largest[0]);
		largest[1].onExceeded(`messages in progress hold more than ${maximumBytes} bytes in total, and this one is the largest`);
	}

	return {
		open(onExceeded) {
			lastKey += 1;
			const key = lastKey;
			messages.set(key, {bytes: 0, onExceeded});
			return {
				add(bytes) {
					const message = messages.get(key);
					if (message === undefined) {
						return;
					}

					message.bytes += bytes;
					totalBytes += bytes;
					if (totalBytes > maximumBytes) {
						abortLargest();
					}
				},
				release() {
					remove(key);
				},
			};
		},
		held: () => totalBytes,
	};
}
