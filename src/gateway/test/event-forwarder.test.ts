import {Buffer} from 'node:buffer';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {responseBudget} from '../../base/common/message-budgets.js';
import {MAXIMUM_EVENT_BYTES} from '../../adapters/common/event-bound.js';
import {createEventBlocks} from '../../adapters/common/event-blocks.js';
import {createEventForwarder} from '../node/event-forwarder.js';
import {IdProtocol} from './id-protocol.js';

const test = suite('forwarding of event streams');
const CHUNK = Buffer.from('abcdefghijklmnop');

/** Runs `work` and returns the number of bytes that were copied between byte arrays meanwhile. */
function countCopiedBytes(work: () => void): number {
	const {prototype} = Uint8Array;
	const {set, slice} = prototype;
	let copied = 0;
	prototype.set = function (source, offset) {
		copied += source.length;
		Reflect.apply(set, this, [source, offset]);
	};

	prototype.slice = function (start, end) {
		const part = Reflect.apply(slice, this, [start, end]);
		copied += part.length;
		return part;
	};

	try {
		work();
	} finally {
		Object.assign(prototype, {set, slice});
	}

	return copied;
}

// Incident docs/incidents/endless-event.md: one endless event stopped the daemon for ten seconds.
test('the work for an event that does not end is in proportion to its bytes', () => {
	const forwarder = createEventForwarder(new IdProtocol(), () => undefined, () => undefined, () => true);
	const chunks = 32 * 1024 / CHUNK.length;
	const copied = countCopiedBytes(() => {
		Array.from({length: chunks}).forEach(() => {
			assert.is(forwarder.forward(CHUNK), undefined);
		});
	});
	assert.ok(copied <= 2 * chunks * CHUNK.length, `${copied} bytes were copied for ${chunks * CHUNK.length}`);
});

test('an event that does not end is refused at its maximum size', () => {
	const forwarder = createEventForwarder(new IdProtocol(), () => undefined, () => undefined, () => true);
	const problems = Array.from({length: (MAXIMUM_EVENT_BYTES / CHUNK.length) + 1}, () => forwarder.forward(CHUNK)).filter(problem => problem !== undefined);
	assert.is(problems.length, 1);
});

// Issue 46, report of other operators: the bytes of a server in trouble filled the memory of the daemon.
test('events that do not end, of many streams at once, hold no more memory than responses may', () => {
	const size = MAXIMUM_EVENT_BYTES - 1024;
	const forwarders = Array.from({length: Math.ceil(1.5 * responseBudget.maximumBytes() / size)}, () => createEventForwarder(new IdProtocol(), () => undefined, () => undefined, () => true));
	const before = responseBudget.held();
	forwarders.forEach(forwarder => {
		forwarder.forward(Buffer.alloc(size, 'x'));
	});
	assert.ok(responseBudget.held() > before, 'they are counted');
	assert.ok(responseBudget.held() <= responseBudget.maximumBytes());
	const refused = forwarders.filter(forwarder => forwarder.forward(Buffer.from('x')) !== undefined).length;
	assert.ok((forwarders.length - refused) * size <= responseBudget.maximumBytes(), `${refused} of ${forwarders.length} are refused`);
	forwarders.forEach(({release}) => {
		release();
	});
	assert.ok(responseBudget.held() <= before, 'what was released is no longer counted');
});

test('whatever the size of the chunks, events are passed on whole, in order, and as soon as they are complete', () => {
	const stream = Buffer.from('id: 1\ndata: a\n\nid: 2\ndata: b\n\n\n: comment\n\nid: 3\ndata: c\n\nid: 4\nda');
	const whole = stream.subarray(0, stream.lastIndexOf('\n\n') + 2).toString('utf8');
	Array.from({length: stream.length}, (_, index) => index + 1).forEach(size => {
		const written: string[] = [];
		const forwarder = createEventForwarder(new IdProtocol(), chunk => {
			written.push(Buffer.from(chunk).toString('utf8'));
		}, () => undefined, () => true);
		Array.from({length: Math.ceil(stream.length / size)}, (_, index) => stream.subarray(index * size, (index + 1) * size)).forEach(chunk => {
			forwarder.forward(chunk);
			assert.ok(written.length === 0 || written.join('').endsWith('\n\n') || written.join('').endsWith('\n\n\n'));
		});
		assert.is(written.join(''), whole, `chunks of ${size} bytes`);
		assert.ok(forwarder.endsWithinEvent());
	});
});

test('a blank line that begins in one chunk and ends in the next ends an event', () => {
	const blocks = createEventBlocks();
	assert.is(blocks.add(Buffer.from('data: a\n')), undefined);
	assert.is(blocks.pendingBytes(), 8);
	assert.is(Buffer.from(blocks.add(Buffer.from('\ndata: b')) ?? []).toString('utf8'), 'data: a\n\n');
	assert.is(blocks.pendingBytes(), 7);
});

test.run();
