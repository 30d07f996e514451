/** Writes log lines to a file descriptor without blocking: when the reader is too slow, lines are dropped and counted. */
import {Buffer} from 'node:buffer';
import {write as writeDescriptor} from 'node:fs';

/** A destination for lines. */
export type LineSink = {
	readonly write: (line: string) => void;
	/** Calls back once all lines are written. */
	readonly flush: (onDone: () => void) => void;
};

/** Maximum number of characters that wait for a slow reader. */
const MAXIMUM_BACKLOG_CHARACTERS = 262_144;

/** Creates a sink. */
export function createLineSink(descriptor: number): LineSink {
	let pendingLines: string[] = [];
	let backlog = 0;
	let dropped = 0;
	let isWriting = false;
	const flushListeners: Array<() => void> = [];

	function notifyFlushed(): void {
		flushListeners.splice(0).forEach(listener => {
			listener();
		});
	}

	function writePending(): void {
		if (isWriting) {
			return;
		}

		if (pendingLines.length === 0) {
			notifyFlushed();
			return;
		}

		const droppedNotice = dropped > 0 ? [`${JSON.stringify({level: 'warn', message: 'log lines dropped', dropped})}\n`] : [];
		const text = [...droppedNotice, ...pendingLines].join('');
		pendingLines = [];
		backlog = 0;
		dropped = 0;
		isWriting = true;
		writeAll(text);
	}

	function writeAll(text: string): void {
		writeDescriptor(descriptor, text, null, 'utf8', (error, written) => {
			if (error !== null && (error).code === 'EAGAIN') {
				setTimeout(writeAll, 10, text);
				return;
			}

			const bytes = Buffer.from(text);
			if (error === null && written < bytes.length) {
				writeAll(bytes.subarray(written).toString('utf8'));
				return;
			}

			isWriting = false;
			writePending();
		});
	}

	return {
		write(line) {
			if (backlog + line.length > MAXIMUM_BACKLOG_CHARACTERS) {
				dropped += 1;
				return;
			}

			backlog += line.length;
			pendingLines.push(line);
			writePending();
		},
		flush(listener) {
			flushListeners.push(listener);
			writePending();
		},
	};
}
