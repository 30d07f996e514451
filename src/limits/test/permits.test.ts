import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createSeededRandom} from '../../../test/fakes/virtual-loop.js';
import type {PeerDaemon} from '../../peers/common/peer-mesh.js';
import {
	chooseKeeper, CONTESTED_RATE_SHARE, createKeeperReachability, rankKeepers,
} from '../common/permit-keepers.js';
import {createPermitLedger, type PermitDecision, type PermitUrgency} from '../common/permit-ledger.js';
import {computePatience, planPermit} from '../common/permit-plan.js';

const test = suite('permits of servers that limit their requests');

/** Time in which an empty ledger accumulates its burst. */
const BUCKET_FILL_MS = 3000;

type Outcome = PermitDecision & {readonly urgency: PermitUrgency; readonly at: number};

/** Plays requests against one ledger, each `stepMs` of which may arrive with a probability per kind. Returns the decisions. */
function playLoad(perSecond: number, load: Readonly<Record<PermitUrgency, number>>, patienceMs: Readonly<Record<PermitUrgency, number>>, durationMs: number): readonly Outcome[] {
	const ledger = createPermitLedger();
	const random = createSeededRandom(7);
	const outcomes: Outcome[] = [];
	const stepMs = 5;
	const time = {now: 0};
	ledger.configure(perSecond, 1, 0);
	Array.from({length: durationMs / stepMs}, (_, index) => index * stepMs).forEach(now => {
		time.now = now;
		(['caller', 'background'] as const).filter(urgency => random() < load[urgency] * stepMs / 1000).forEach(urgency => {
			ledger.request({urgency, waitedMs: 0, patienceMs: patienceMs[urgency]}, decision => {
				outcomes.push({...decision, urgency, at: time.now});
			}, now);
		});
		ledger.settle(now);
	});
	return outcomes;
}

const granted = (outcomes: readonly Outcome[], urgency?: PermitUrgency): readonly Outcome[] => outcomes.filter(outcome => outcome.isGranted && (urgency === undefined || outcome.urgency === urgency));

[0.2, 1, 2.8, 6.7, 40].forEach(perSecond => {
	test(`no window holds more than the limit of ${perSecond} a second and a burst, and the limit is used`, () => {
		const outcomes = granted(playLoad(perSecond, {caller: perSecond, background: 3 * perSecond}, {caller: 140, background: 2000 + (6000 / perSecond)}, 60_000));
		const worst = Math.max(...outcomes.map(({at}) => outcomes.filter(other => other.at >= at && other.at < at + 4000).length));
		assert.ok(worst <= (4 * perSecond) + Math.max(3.5, perSecond / 4) + 1, `${worst} permits in 4 s`);
		assert.ok(outcomes.length >= (60 * perSecond * 0.9) - 2, `${outcomes.length} permits in 60 s`);
	});
});

// Pattern: scoring calls of a step arrive in the hundreds and would take every permit before callers.
test('callers get their permits at once beside a backlog of background requests', () => {
	const outcomes = playLoad(2.8, {caller: 1.2, background: 20}, {caller: 140, background: 2000}, 60_000).filter(outcome => outcome.urgency === 'caller' && outcome.at > BUCKET_FILL_MS);
	assert.ok(granted(outcomes).length >= 0.9 * outcomes.length, `${granted(outcomes).length} of ${outcomes.length}`);
});

// Pattern: callers alone ask for more than the limit. Steps of trainers must still end.
test('background requests go on when callers ask for more than the limit', () => {
	const outcomes = playLoad(2.8, {caller: 10, background: 2}, {caller: 140, background: 2000}, 60_000);
	const background = granted(outcomes, 'background').length;
	assert.ok(background >= 0.1 * granted(outcomes).length, `${background} of ${granted(outcomes).length} permits`);
});

test('a request that can not get a permit within its patience is denied at once, with the time until it could', () => {
	const ledger = createPermitLedger();
	const decisions: PermitDecision[] = [];
	ledger.configure(2, 1, 0);
	[2000, 2000, 2000, 300].forEach(patienceMs => {
		ledger.request({urgency: 'caller', waitedMs: 0, patienceMs}, decision => {
			decisions.push(decision);
		}, 0);
	});
	assert.equal(decisions, [{isGranted: false, waitMs: 2000}]);
	ledger.settle(500);
	assert.is(decisions.filter(decision => decision.isGranted).length, 1);
});

test('a limit that is raised, lowered or ended changes what waits', () => {
	const ledger = createPermitLedger();
	const decisions: PermitDecision[] = [];
	ledger.configure(0.5, 1, 0);
	[1, 2, 3].forEach(() => {
		ledger.request({urgency: 'caller', waitedMs: 0, patienceMs: 10_000}, decision => {
			decisions.push(decision);
		}, 0);
	});
	assert.is(ledger.settle(0), 2000);
	ledger.configure(10, 1, 0);
	ledger.settle(100);
	assert.is(decisions.length, 1);
	ledger.configure(1, 1, 100);
	ledger.settle(300);
	assert.is(decisions.length, 1);
	ledger.close(300);
	assert.equal(decisions.map(decision => decision.isGranted), [true, false, false]);
});

test('a caller waits only as long as its target allows; a background request waits until its deadline', () => {
	const times = {elapsedMs: 40, remainingMs: 1900, goalMs: 200};
	assert.is(computePatience('caller', times), 80);
	assert.is(computePatience('caller', {...times, elapsedMs: 500}), 0);
	assert.is(computePatience('caller', {...times, remainingMs: 50}), 30);
	assert.is(computePatience('background', times), 1880);
});

test('a request goes to a server that takes it, waits for the first that will, or is refused with the time to return', () => {
	const options = [{serverId: 'a', waitMs: 400}, {serverId: 'b', waitMs: 90}, {serverId: 'c', waitMs: 0}];
	assert.equal(planPermit(options, 100), {kind: 'send', serverIds: ['c']});
	assert.equal(planPermit(options.slice(0, 2), 100), {kind: 'wait', serverIds: ['b']});
	assert.equal(planPermit(options.slice(0, 2), 50), {kind: 'refuse', retryAfterMs: 90});
});

const createDaemon = (name: string, region = 'r'): PeerDaemon => ({
	name, incarnation: '1', ip: name, port: 1, region, availabilityZone: 'z',
});

test('all daemons choose the same keeper, in the region of the server', () => {
	const daemons = ['a', 'b', 'c', 'd'].map((name, index) => createDaemon(name, index < 2 ? 'north' : 'south'));
	const ranked = rankKeepers('s1', 'south', daemons);
	assert.equal(new Set(ranked.slice(0, 2).map(daemon => daemon.region)), new Set(['south']));
	assert.equal(rankKeepers('s1', 'south', daemons.toReversed()).map(daemon => daemon.name), ranked.map(daemon => daemon.name));
});

test('the sum that the keepers on both sides of a partition grant stays below one and a half times the limit', () => {
	const ranked = ['a', 'b', 'c', 'd', 'e'].map(name => createDaemon(name));
	const shareOf = (self: string, unreachable: readonly string[], hasEnded: boolean): number => {
		const reachability = createKeeperReachability();
		unreachable.forEach(name => {
			reachability.recordFailure(name, hasEnded, 0);
		});
		const choice = chooseKeeper(ranked, self, reachability, 100);
		return choice.kind === 'self' ? choice.rateShare : 0;
	};

	assert.is(shareOf('a', [], false), 1);
	assert.is(shareOf('b', [], false), 0);
	assert.is(shareOf('b', ['a'], false), CONTESTED_RATE_SHARE);
	assert.is(shareOf('b', ['a'], true), 1);
	assert.is(shareOf('c', ['a', 'b'], true), 1);
	assert.ok(shareOf('a', [], false) + shareOf('b', ['a'], false) + shareOf('c', ['a', 'b'], false) <= 1.5);
});

test.run();
