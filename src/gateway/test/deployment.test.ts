import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	choosePool, createDeploymentHolder, type Deployment, type Route,
} from '../common/deployment.js';

const test = suite('deployment');

function route(name: string, pathPrefix: string, more: Partial<Route> = {}): Route {
	return {
		name, host: 'h', pathPrefix, repeatability: 'idempotent', timeoutMs: 1000, goalMs: 100, priority: 1, attempts: 2, pools: [{pool: 'p', weight: 1}], canResume: false, dueMs: 0, giveUpAfterMs: 0, needsSingleVersion: false, ...more,
	};
}

function deployment(version: number, routes: readonly Route[]): Deployment {
	return {
		version, routes, pools: [], limits: {maximumBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1},
	};
}

test('never goes back to an older version', () => {
	const holder = createDeploymentHolder();
	assert.ok(holder.offer(deployment(4, [route('a', '/a/')])));
	assert.not.ok(holder.offer(deployment(3, [])));
	assert.is(holder.findRoute('h', '/a/x')?.name, 'a');
});

test('the longest prefix of the host wins, whatever the query', () => {
	const holder = createDeploymentHolder();
	holder.offer(deployment(1, [route('short', '/a/'), route('long', '/a/b/'), route('other', '/a/b/c/', {host: 'g'})]));
	assert.is(holder.findRoute('h', '/a/b/c/d?x=/a/')?.name, 'long');
	assert.is(holder.findRoute('h', '/a/z')?.name, 'short');
	assert.is(holder.findRoute('h', '/b?/a/'), undefined);
	assert.is(holder.findRoute('x', '/a/z'), undefined);
});

test('divides requests between pools by weight', () => {
	const split = route('s', '/', {pools: [{pool: 'a', weight: 90}, {pool: 'b', weight: 10}]});
	assert.is(choosePool(split, 0.89), 'a');
	assert.is(choosePool(split, 0.91), 'b');
	assert.is(choosePool(route('none', '/', {pools: []}), 0.5), undefined);
});

test.run();
