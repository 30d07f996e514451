/**
 * Bounds what is taken from one peer in a turn of the event loop. Node.js reads from a connection as long as bytes arrive, and a peer that
 * sends them in very small chunks could keep timers and all other connections waiting. A message with many chunks in one read is
 * suspended after that read, until the suspended messages before it have had a turn each.
 */
import type {IncomingMessage} from 'node:http';
import {nextTick} from 'node:process';
import type {Disposable} from '../common/disposable.js';

/** The part of a message that its pace needs. */
export type PacedMessage = Pick<IncomingMessage, 'pause' | 'resume' | 'destroyed' | 'complete'> & {
	readonly socket: Pick<IncomingMessage['socket'], 'pause' | 'resume' | 'bytesRead'>;
};

/** Counts the chunks of one message, until it is disposed. */
export type MessagePace = Disposable & {
	readonly countChunk: () => void;
};

/** Chunks of one read, of 64 KB at the most, from which on a message is suspended. Messages in chunks of 256 bytes or more are never suspended. */
const MAXIMUM_CHUNKS_PER_READ = 256;

/** The suspended messages, in the order in which they go on. */
const suspended: Array<() => void> = [];

function resumeFirst(): void {
	const resume = suspended.shift();
	if (suspended.length > 0) {
		setImmediate(resumeFirst);
	}

	resume?.();
}

function awaitTurn(resume: () => void): void {
	suspended.push(resume);
	if (suspended.length === 1) {
		setImmediate(resumeFirst);
	}
}

/** Creates the pace of a message. */
export function createMessagePace(message: PacedMessage): MessagePace {
	const {socket} = message;
	let chunks = 0;
	let bytesRead = 0;
	let isDisposed = false;

	function suspend(): void {
		if (isDisposed || message.complete || message.destroyed) {
			return;
		}

		message.pause();
		socket.pause();
		awaitTurn(() => {
			if (isDisposed) {
				return;
			}

			message.resume();
			socket.resume();
		});
	}

	return {
		countChunk() {
			chunks = socket.bytesRead === bytesRead ? chunks + 1 : 1;
			bytesRead = socket.bytesRead;
			if (chunks === MAXIMUM_CHUNKS_PER_READ) {
				// All chunks of the read are handled first: bytes that have been parsed take far more memory than others.
				nextTick(suspend);
			}
		},
		dispose() {
			isDisposed = true;
		},
	};
}
