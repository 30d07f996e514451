/** Writes log lines to a file descriptor without ever blocking: lines are dropped and counted when the reader falls behind. */
import {Buffer} from 'node:buffer';
import {write as writeDescriptor} from 'node:fs';

/** A sink of lines. */
export type LineSink = {
	readonly write: (line: string) => void;
	/** Calls back once all lines are written. */
	readonly flush: (onDone: () => void) => void;
};

/** Most characters that wait for a slow reader. */
const LARGEST_BACKLOG = 262_144;

/** Creates a sink. */
export function createLineSink(descriptor: number): LineSink {
	let waiting: string[] = [];
	let backlog = 0;
	let dropped = 0;
	let isWriting = false;
	const onDone: Array<() => void> = [];

	function finish(): void {
		onDone.splice(0).forEach(listener => {
			listener();
		});
	}

	function next(): void {
		if (isWriting) {
			return;
		}

		if (waiting.length === 0) {
			finish();
			return;
		}

		const notice = dropped > 0 ? [`${JSON.stringify({level: 'warn', message: 'log lines dropped', dropped})}\n`] : [];
		const text = [...notice, ...waiting].join('');
		waiting = [];
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
			next();
		});
	}

	return {
		write(line) {
			if (backlog + line.length > LARGEST_BACKLOG) {
				dropped += 1;
				return;
			}

			backlog += line.length;
			waiting.push(line);
			next();
		},
		flush(listener) {
			onDone.push(listener);
			next();
		},
	};
}
