/** Counts what is written to a peer that has not read it yet. Under pressure, the connection to the peer that reads slowest is closed. */
import type {ServerResponse} from 'node:http';
import {performance} from 'node:perf_hooks';
import type {BytesHeld} from '../common/byte-budget.js';
import {responseBudget} from '../common/message-budgets.js';

/** Starts counting the unread bytes of a response, until it is closed. */
export function openUnreadBytes(response: ServerResponse): Pick<BytesHeld, 'set'> {
	const held = responseBudget.open(() => {
		// The response may have begun, so that only its end can tell the peer that it is incomplete.
		response.destroy();
	}, performance.now());
	response.once('close', held.release);
	return held;
}
