import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createEventTail, isEventStream} from '../common/event-stream.js';

const test = suite('event streams');

test('a response is an event stream by its type, whatever its parameters', () => {
	assert.ok(isEventStream('text/event-stream'));
	assert.ok(isEventStream('Text/Event-Stream; charset=utf-8'));
	assert.not(isEventStream('application/json'));
	assert.not(isEventStream(undefined));
});

test('a stream ends within an event unless its last line is blank, in whichever chunks it arrives', () => {
	const endsWithin = (text: string, size: number): boolean => {
		const bytes = new TextEncoder().encode(text);
		const tail = createEventTail();
		Array.from({length: Math.ceil(bytes.length / size)}, (_, index) => bytes.subarray(index * size, (index + 1) * size)).forEach(tail.addChunk);
		return tail.endsWithinEvent();
	};

	[1, 2, 3, 100].forEach(size => {
		assert.not(endsWithin('', size));
		['id: 1\ndata: a\n\n', 'data: a\r\n\r\n', 'data: a\r\r'].forEach(text => {
			assert.not(endsWithin(text, size), JSON.stringify(text));
		});
		['id: 1', 'id: 1\n', 'data: a\r\n', 'data: a\n\ndata'].forEach(text => {
			assert.ok(endsWithin(text, size), JSON.stringify(text));
		});
	});
});

test.run();
