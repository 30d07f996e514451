import {Buffer} from 'node:buffer';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {compactJson, type JsonBounds} from '../common/json-size.js';
import {BATCH_BOUNDS} from '../common/batch-bounds.js';

const test = suite('size of submitted JSON');
const encode = (text: string): Uint8Array => new TextEncoder().encode(text);
const compact = (text: string, bounds: Partial<JsonBounds> = {}): string => {
	const outcome = compactJson(encode(text), {values: 1000, bytes: 10_000, ...bounds});
	return 'text' in outcome ? Buffer.from(outcome.text).toString('utf8') : `exceeds ${outcome.exceeds}`;
};

test('values are counted outside of texts only, so that texts of items may contain anything', () => {
	const text = JSON.stringify({items: [{body: String.raw`[[[[,,,,::::"{{{{\x`}, {}, String.raw`x\"`]});
	assert.is(compact(text, {values: 20}), text);
	assert.is(compact(text, {values: 5}), 'exceeds values');
	assert.is(compact('', {values: 1}), '');
	assert.is(compact('"\\', {values: 1}), '"\\', 'an unfinished text');
});

test('a list of empty objects that would expand to hundreds of megabytes is over the limit, and the largest batch that can be stored is not', () => {
	assert.equal(compactJson(encode(`[{}${',{}'.repeat(2_000_000)}]`), BATCH_BOUNDS), {exceeds: 'values'});
	const items = Array.from({length: 9000}, (_, index) => ({
		id: `i${index}`, path: '/p', body: 'b', headers: {model: 'm', a: 'b', c: 'd'}, group: 'g',
	}));
	assert.is(compact(JSON.stringify({items}), BATCH_BOUNDS), JSON.stringify({items}));
});

test('white space between values takes no memory and no part of the limit, and white space inside texts stays', () => {
	const value = {items: [{text: 'a \t"b\\" \n', group: 'ομάδα 1'}, [1, true, null, {}]]};
	const indented = JSON.stringify(value, undefined, '\t').replaceAll('\n', '\r\n  ');
	const shortest = JSON.stringify(value);
	assert.is(compact(indented, {bytes: encode(shortest).length}), shortest);
	assert.is(compact(indented, {bytes: encode(shortest).length - 1}), 'exceeds bytes');
	assert.is(compact(`${' '.repeat(1_000_000)}{}`, {bytes: 2}), '{}');
});

test('a text that is not well-formed does not become so without its white space', () => {
	assert.is(compact('{"items": [4 \n 2]}'), '{"items":[4 2]}');
	assert.is(compact('[tr ue, "a" 1, - 1, 1 ]'), '[tr ue,"a"1,- 1,1]');
	assert.is(compact('1 2', {bytes: 2}), 'exceeds bytes');
});

test('the largest batch that can be stored is within the limit also when each of its characters is escaped', () => {
	const text = `"${String.raw`\u03bf`.repeat(899_000)}"`;
	assert.is(compact(text, BATCH_BOUNDS), text);
});

test.run();
