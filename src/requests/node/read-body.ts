/** Reads the body of a caller's request, with limits of size and time. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import {createByteBudget} from '../../base/common/byte-budget.js';
import type {Loop} from '../../kernel/common/loop.js';

/** Limits of a request body. */
export type BodyBounds = {
	readonly maximumBytes: number;
	readonly timeoutMs: number;
};

/** Limit of the total size of all request bodies being read, without response bodies; room for 1,000 batches of 55 KB. */
const MAXIMUM_TOTAL_BYTES = 56 * 1024 * 1024;
/** Retry-after time when the total limit is reached; the bodies being read normally arrive within it. */
const RETRY_AFTER_MS = 1000;

const callerBytes = createByteBudget(MAXIMUM_TOTAL_BYTES);
const origin = {step: 'read body', peer: 'caller'};

/** Resolves with the complete body. On a failure the rest is not read, so the connection must be closed. */
export async function readBody(message: IncomingMessage, bounds: BodyBounds, loop: Loop): Promise<Result<Uint8Array, Failure>> {
	const tooLarge = err(createNotRun('invalid', origin, `the body is larger than ${bounds.maximumBytes} bytes`));
	if (Number(message.headers['content-length'] ?? 0) > bounds.maximumBytes) {
		return tooLarge;
	}

	return new Promise(resolve => {
		const chunks: Uint8Array[] = [];
		const heldBytes = callerBytes.open(reason => {
			settle(err(createNotRun('overloaded', origin, reason, RETRY_AFTER_MS)));
		});
		let length = 0;

		function settle(result: Result<Uint8Array, Failure>): void {
			timer.dispose();
			heldBytes.release();
			message.off('data', onData);
			if (result.isErr()) {
				message.pause();
			}

			resolve(result);
		}

		function onData(chunk: Uint8Array): void {
			length += chunk.length;
			chunks.push(chunk);
			heldBytes.add(chunk.length);
			if (length > bounds.maximumBytes) {
				settle(tooLarge);
			}
		}

		const timer = loop.after(bounds.timeoutMs, () => {
			settle(err(createNotRun('deadlineExceeded', origin, `the body did not arrive within ${bounds.timeoutMs} ms`)));
		});
		message.on('data', onData);
		message.once('end', () => {
			settle(ok(Buffer.concat(chunks)));
		});
		message.once('close', () => {
			settle(err(createNotRun('aborted', origin, 'the caller disconnected')));
		});
		message.once('error', () => {
			settle(err(createNotRun('aborted', origin, 'the caller disconnected')));
		});
	});
}
