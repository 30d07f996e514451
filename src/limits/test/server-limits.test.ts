import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createServerLimits} from '../common/server-limits.js';

const test = suite('limits that servers state');

function createWith(perSecond: number) {
	const limits = createServerLimits();
	limits.recordResponse({
		serverId: 's', startedAt: 1000, perSecond, sentAt: 0,
	}, 100);
	return limits;
}

function respond(limits: ReturnType<typeof createServerLimits>, perSecond: number | undefined, sentAt: number, now: number): number | undefined {
	limits.recordResponse({
		serverId: 's', startedAt: 1000, perSecond, sentAt,
	}, now);
	return limits.perSecondOf('s', 1000);
}

test('a limit holds until a response without it to a request that was sent after the limit was stated', () => {
	const limits = createWith(3);
	assert.is(respond(limits, undefined, 90, 110), 3);
	assert.is(respond(limits, undefined, 101, 120), undefined);
});

test('a late response lowers a limit, but does not raise it', () => {
	const limits = createWith(3);
	assert.is(respond(limits, 8, 50, 110), 3);
	assert.is(respond(limits, 2, 50, 120), 2);
	assert.is(respond(limits, 8, 121, 140), 8);
});

test('a limit ends with the run of the server that stated it, and late responses of that run change nothing', () => {
	const limits = createWith(3);
	assert.is(limits.perSecondOf('s', 2000), undefined);
	limits.recordResponse({
		serverId: 's', startedAt: 2000, perSecond: 5, sentAt: 200,
	}, 210);
	assert.is(respond(limits, 1, 205, 220), 5);
	assert.is(limits.perSecondOf('s', 2000), 5);
});

test('other daemons are told when a new run of the server states the limit that the run before had', () => {
	const limits = createWith(3);
	const {revision} = limits.since(0, 200);
	limits.recordResponse({
		serverId: 's', startedAt: 2000, perSecond: 3, sentAt: 200,
	}, 210);
	assert.is(limits.since(revision, 210).notices.length, 1);
});

test('of two daemons\' statements the newer one counts, whichever arrives first', () => {
	const limits = createWith(3);
	limits.recordNotice({
		serverId: 's', startedAt: 1000, perSecond: 9, ageMs: 500,
	}, 400);
	assert.is(limits.perSecondOf('s', 1000), 3);
	limits.recordNotice({serverId: 's', startedAt: 1000, ageMs: 50}, 400);
	assert.is(limits.perSecondOf('s', 1000), undefined);
});

test('only changes that matter to other daemons get a new revision', () => {
	const limits = createWith(3);
	const {revision} = limits.since(0, 200);
	respond(limits, 3.1, 150, 200);
	assert.equal(limits.since(revision, 200), {revision, notices: []});
	respond(limits, 4, 210, 220);
	assert.equal(limits.since(revision, 230).notices, [{
		serverId: 's', ageMs: 10, startedAt: 1000, perSecond: 4,
	}]);
});

test.run();
