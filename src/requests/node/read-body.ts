/** Reads the body of a caller's request, with limits of size and time. */
import type {IncomingMessage} from 'node:http';
import {performance} from 'node:perf_hooks';
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import {createCompactBytes} from '../../base/common/compact-bytes.js';
import {createMessagePace} from '../../base/node/message-pace.js';
import {requestBudget} from '../../base/common/message-budgets.js';
import type {Loop} from '../../kernel/common/loop.js';

/** Limits of a request body. */
export type BodyBounds = {
	readonly maximumBytes: number;
	readonly timeoutMs: number;
	/** Registers a function that stops counting the complete body, to be called when the request has ended; by default a complete body is no longer counted. */
	readonly onDidEnd?: (release: () => void) => void;
};

/** Retry-after time when the total limit is reached; the bodies being read normally arrive within it. */
const RETRY_AFTER_MS = 1000;

/** Share of an announced body that must have arrived before memory for all of it is allocated. */
const ALLOCATION_SHARE = 1 / 8;
const origin = {step: 'read body', peer: 'caller'};

/**
 * Resolves with the complete body. On a failure the rest is not read, so the connection must be closed. The body counts toward the
 * memory for requests, and is aborted for others only while it is incomplete.
 */
export async function readBody(message: IncomingMessage, bounds: BodyBounds, loop: Loop): Promise<Result<Uint8Array, Failure>> {
	const tooLarge = err(createNotRun('invalid', origin, `the body is larger than ${bounds.maximumBytes} bytes`));
	const announcedBytes = Number(message.headers['content-length'] ?? 0);
	if (announcedBytes > bounds.maximumBytes) {
		return tooLarge;
	}

	return new Promise(resolve => {
		const body = createCompactBytes({bytes: announcedBytes, allocationShare: ALLOCATION_SHARE});
		const heldBytes = requestBudget.open(reason => {
			settle(err(createNotRun('overloaded', origin, reason, RETRY_AFTER_MS)));
		}, performance.now());
		let length = 0;
		let isSettled = false;
		const pace = createMessagePace(message);

		function settle(result: Result<Uint8Array, Failure>): void {
			if (isSettled) {
				return;
			}

			isSettled = true;
			timer.dispose();
			pace.dispose();
			message.off('data', onData);
			if (result.isErr()) {
				heldBytes.release();
				body.clear();
				message.pause();
			}

			resolve(result);
		}

		function onData(chunk: Uint8Array): void {
			pace.countChunk();
			length += chunk.length;
			if (length > bounds.maximumBytes) {
				settle(tooLarge);
				return;
			}

			heldBytes.add(body.add(chunk), performance.now());
		}

		const timer = loop.after(bounds.timeoutMs, () => {
			settle(err(createNotRun('deadlineExceeded', origin, `the body did not arrive within ${bounds.timeoutMs} ms`)));
		});
		message.on('data', onData);
		message.once('end', () => {
			if (isSettled) {
				return;
			}

			const whole = body.take();
			heldBytes.set(whole.buffer.byteLength, performance.now());
			heldBytes.keep();
			if (bounds.onDidEnd === undefined) {
				heldBytes.release();
			} else {
				bounds.onDidEnd(heldBytes.release);
			}

			settle(ok(whole));
		});
		message.once('close', () => {
			settle(err(createNotRun('aborted', origin, 'the caller disconnected')));
		});
		message.once('error', () => {
			settle(err(createNotRun('aborted', origin, 'the caller disconnected')));
		});
	});
}
