import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createVirtualTime} from '../../../test/fakes/virtual-loop.js';
import {silentLog} from '../../kernel/common/log.js';
import {silentMetrics} from '../../kernel/common/metrics.js';
import {createEntryHistory} from '../common/entry-history.js';
import type {PortView} from '../common/port-view.js';
import {createServerView, type ServerEntry} from '../common/server-view.js';
import {createCrashDetector} from '../node/crash-detector.js';

const test = suite('detection of crashes');

function createWorld(port: PortView = 'unknown') {
	const time = createVirtualTime();
	const view = createServerView(() => 'r');
	const history = createEntryHistory();
	view.onDidChange(() => {
		history.update(view.all(), time.clock.monotonic());
	});
	const detector = createCrashDetector({
		view, history, ports: {inspect: async () => port}, clock: time.clock, loop: time.loop, log: silentLog, metrics: silentMetrics,
	});
	const bornAt = (wallOffsetMs: number) => 1_700_000_000_000 + wallOffsetMs;
	const entry = (id: string, startedAt: number, address = '10.0.0.1'): ServerEntry => ({
		id, pool: 'p', address, port: 80, availabilityZone: 'z', slots: 4, isLeaving: false, versions: new Map(), sequence: 1, startedAt,
	});
	const list = (...entries: readonly ServerEntry[]) => {
		view.update(entries, time.clock.monotonic());
	};

	/** Watches a request that is sent now; returns how often it is blamed. */
	const open = (serverId: string) => {
		let blamed = 0;
		detector.watch(detector.currentRun(serverId), () => {
			blamed += 1;
		});
		return () => blamed;
	};

	return {
		time, detector, bornAt, entry, list, open,
	};
}

// Found by soak seed 9101: a server that started under a new id counted as crashed as long as the entry of the run before it, at the same address, was listed.
test('a server that replaces another one at its address has not crashed, and the other one has', async () => {
	const {time, detector, bornAt, entry, list, open} = createWorld();
	list(entry('s1', bornAt(-9000)));
	const onFirst = open('s1');
	await time.advance(1000);
	list(entry('s1', bornAt(-9000)), entry('s2', bornAt(500)));
	const onSecond = open('s2');
	await time.advance(1000);
	list(entry('s1', bornAt(-9000)), entry('s2', bornAt(500)), entry('s3', bornAt(0), '10.0.0.2'));
	await time.advance(3000);
	list(entry('s2', bornAt(500)));
	assert.is(onFirst(), 1);
	assert.is(onSecond(), 0);
	assert.not(detector.hasCrashed(detector.currentRun('s2')));
});

test('a request that was sent to a server after it had started again is not blamed when its entry shows that', async () => {
	const {time, bornAt, entry, list, open} = createWorld();
	list(entry('s1', bornAt(-9000)));
	const before = open('s1');
	await time.advance(1000);
	const after = open('s1');
	await time.advance(300);
	list(entry('s1', bornAt(700)));
	assert.is(before(), 1);
	assert.is(after(), 0);
});

test('a server whose entry is removed has crashed if nobody reaches it, and has not if somebody does', async () => {
	await Promise.all((['silent', 'open', 'unknown'] as const).map(async port => {
		const {time, bornAt, entry, list, open} = createWorld(port);
		list(entry('s1', bornAt(-9000)), entry('s2', bornAt(-9000), '10.0.0.2'));
		const blamed = open('s1');
		await time.advance(1000);
		list(entry('s2', bornAt(-9000), '10.0.0.2'));
		await time.advance(100);
		assert.is(blamed(), port === 'silent' ? 1 : 0, port);
	}));
});

test.run();
