import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createDeploymentHolder, type Route} from '../common/deployment.js';
import {copyEndToEndHeaders} from '../node/server-caller.js';

const test = suite('work that a caller causes');

/** Counts the characters of all parts that are cut out of texts meanwhile. */
function countSlicedCharacters(work: () => void): number {
	const {prototype} = String;
	const {slice} = prototype;
	let characters = 0;
	prototype.slice = function (this: string, start, end) {
		const part = Reflect.apply(slice, this, [start, end]);
		characters += part.length;
		return part;
	};

	try {
		work();
	} finally {
		prototype.slice = slice;
	}

	return characters;
}

test('the route of a path of very many slashes is found in proportion to the longest prefix', () => {
	const route: Route = {
		name: 'r', host: 'h', pathPrefix: '/a/b/', repeatability: 'idempotent', timeoutMs: 1000, goalMs: 500, priority: 1, attempts: 1, pools: [], canResume: false, dueMs: 0, giveUpAfterMs: 0, needsSingleVersion: false,
	};
	const holder = createDeploymentHolder();
	holder.offer({
		version: 1, routes: [route, {...route, name: 'short', pathPrefix: '/a/'}], pools: [], limits: {maximumBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1}, tenancy: {kind: 'none'},
	});
	const path = `/a/b${'/'.repeat(15_000)}`;
	let found: Route | undefined;
	const characters = countSlicedCharacters(() => {
		found = holder.findRoute('h', path);
	});
	assert.is(found?.name, 'r');
	assert.ok(characters <= path.length, `${characters} characters were copied`);
	assert.is(holder.findRoute('h', '/a/c/d')?.name, 'short');
	assert.is(holder.findRoute('h', '/a'), undefined);
});

test('the lines of one header are copied once each', () => {
	const lines = 4000;
	const prototype: unknown[] = Array.prototype as unknown[];
	const iterate = prototype[Symbol.iterator];
	let iterated = 0;
	prototype[Symbol.iterator] = function (this: unknown[]) {
		iterated += this.length;
		return Reflect.apply(iterate, this, []);
	};

	let copied: Record<string, string | string[]> = {};
	try {
		copied = copyEndToEndHeaders(Array.from({length: lines}).flatMap((_, index) => ['X-A', String(index)]), []);
	} finally {
		prototype[Symbol.iterator] = iterate;
	}

	assert.is(copied['X-A']?.length, lines);
	assert.ok(iterated <= 10 * lines, `${iterated} values were copied for ${lines} lines`);
});

test.run();
