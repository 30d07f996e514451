import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createTaskSet} from '../common/task-set.js';

const test = suite('tasks in progress');

test('idle is reached when all tasks have ended, also those that start meanwhile', async () => {
	const tasks = createTaskSet();
	await tasks.whenIdle();
	const ends: Array<() => void> = [];
	const start = async () => tasks.run(async () => new Promise<void>(resolve => {
		ends.push(resolve);
	}));
	const first = start();
	let isIdle = false;
	const idle = tasks.whenIdle().then(() => {
		isIdle = true;
	});
	const second = start();
	ends[0]!();
	await first;
	assert.not.ok(isIdle);
	ends[1]!();
	await second;
	await idle;
	assert.ok(isIdle);
});

test.run();
