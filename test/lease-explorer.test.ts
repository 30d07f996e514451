import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	createLeaseDecider, initialLeaseState, type LeaseAction, type LeaseDecider, type LeaseState,
} from '../src/leases/common/lease-decider.js';
import type {LeaseSnapshot} from '../src/leases/common/lease-record.js';
import {explore, type Exploration, type Model} from './fakes/explorer.js';

const test = suite('lease decider, every interleaving');

const STEP_MS = 1000;
const times = {
	durationMs: 2000, renewMs: 1000, marginMs: 1000, standbyDelayMs: 0,
};

/** Renders what distinguishes a lease object: its version, who wrote it, and what it says. */
function keyOfSnapshot({version, ownSequence, record}: LeaseSnapshot): string {
	return `${version} ${ownSequence} ${record?.daemonId} ${record?.released} ${record?.fencing}`;
}

function keyOfCall(call: Call | undefined): string {
	const answer = call?.answer === undefined || call.answer === 'conflict' ? call?.answer : keyOfSnapshot(call.answer);
	const action = call?.action.kind === 'write' ? `${call.action.write.kind} ${call.action.write.sequence} ${call.action.write.ifVersion} ${call.action.write.record.fencing}` : call?.action.kind;
	return `${action} ${answer}`;
}

/** Renders a state; only times relative to the present matter. */
function keyOf(world: World): string {
	const since = (time: number | undefined) => (time === undefined ? '' : Math.max(time - world.now, -HORIZON_MS));
	const keyOfDaemon = ({lease, writes, call}: Daemon) => [
		lease.observed && keyOfSnapshot(lease.observed),
		since(lease.observed?.since),
		since(lease.lastReadAt),
		lease.mustRead,
		since(lease.retryAt),
		lease.held?.fencing,
		since(lease.held?.renewedAt),
		since(lease.held?.validUntil),
		...[...lease.doubtful, lease.pending].map(write => write && `${write.sequence} ${write.kind} ${since(write.sentAt)}`),
		writes,
		keyOfCall(call),
	].join(',');
	return [keyOfSnapshot(world.object), world.object.writer, ...world.daemons.map(daemon => keyOfDaemon(daemon))].join(';');
}

type DeciderFactory = typeof createLeaseDecider;

/** A call on its way to the store, or its answer on the way back. */
type Call = {
	readonly action: Exclude<LeaseAction, {readonly kind: 'none'}>;
	/** What the store answered: undefined while the call has not arrived there. */
	readonly answer: LeaseSnapshot | 'conflict' | undefined;
};

/** Times further back than this are alike to the decider. */
const HORIZON_MS = 10 * STEP_MS;

type Daemon = {
	readonly lease: LeaseState;
	readonly writes: number;
	readonly call: Call | undefined;
};

type World = {
	readonly now: number;
	readonly daemons: readonly Daemon[];
	readonly object: LeaseSnapshot & {readonly writer: number};
};

function replaceDaemon(world: World, index: number, daemon: Partial<Daemon>): World {
	return {...world, daemons: world.daemons.map((known, at) => (at === index ? {...known, ...daemon} : known))};
}

function createModel(daemonCount: number, createDecider: DeciderFactory): Model<World> {
	const deciderOf = (index: number, lease: LeaseState): LeaseDecider => createDecider({
		daemonId: `entry-${index}`, incarnation: 1, address: `10.0.0.${index}`, peerPort: 1,
	}, times, lease);

	/** The object as a daemon reads it: its own writes carry their sequence. */
	function snapshotFor(world: World, index: number): LeaseSnapshot {
		const {version, record, ownSequence, writer} = world.object;
		return {version, record, ownSequence: writer === index ? ownSequence : undefined};
	}

	function decide(world: World, index: number, yields: boolean): World {
		const daemon = world.daemons[index]!;
		const decider = deciderOf(index, daemon.lease);
		const action = decider.decide({rank: index, mustRelease: yields}, `${daemon.writes}`, world.now);
		const isWrite = action.kind === 'write';
		return replaceDaemon(world, index, {
			lease: decider.state(),
			writes: daemon.writes + (isWrite ? 1 : 0),
			call: action.kind === 'none' ? daemon.call : {action, answer: undefined},
		});
	}

	function arrive(world: World, index: number): World {
		const {action} = world.daemons[index]!.call!;
		if (action.kind === 'read') {
			return replaceDaemon(world, index, {call: {action, answer: snapshotFor(world, index)}});
		}

		const {write} = action;
		if (write.ifVersion !== world.object.version) {
			return replaceDaemon(world, index, {call: {action, answer: 'conflict'}});
		}

		const object = {
			version: world.object.version + 1, record: write.record, ownSequence: write.sequence, writer: index,
		};
		const answer = {version: object.version, record: object.record, ownSequence: object.ownSequence};
		return replaceDaemon({...world, object}, index, {call: {action, answer}});
	}

	function takeAnswer(world: World, index: number, isLost: boolean): World {
		const daemon = world.daemons[index]!;
		const {action, answer} = daemon.call!;
		const decider = deciderOf(index, daemon.lease);
		if (action.kind === 'write') {
			const known = answer === undefined || answer === 'conflict' ? {kind: 'conflict'} as const : {kind: 'written', version: answer.version} as const;
			decider.settle(isLost ? {kind: 'unknown'} : known, action.write.record, world.now);
		} else if (answer !== undefined && answer !== 'conflict') {
			decider.observe(answer, world.now);
		}

		return replaceDaemon(world, index, {lease: decider.state(), call: undefined});
	}

	function eventsOf(world: World, index: number) {
		const {call, lease} = world.daemons[index]!;
		if (call === undefined) {
			const decided = decide(world, index, false);
			return [
				{event: `${index} decides`, state: decided},
				...(lease.held ? [{event: `${index} yields`, state: decide(world, index, true)}] : []),
			];
		}

		if (call.answer === undefined) {
			return [{event: `call of ${index} arrives`, state: arrive(world, index)}];
		}

		return [
			{event: `answer reaches ${index}`, state: takeAnswer(world, index, false)},
			...(call.action.kind === 'write' ? [{event: `answer to ${index} is lost`, state: takeAnswer(world, index, true)}] : []),
		];
	}

	/** Lets a daemon decide once, with an answer without delay. */
	function runOnce(world: World, index: number): World {
		return takeAnswer(arrive(decide(world, index, false), index), index, false);
	}

	const empty: World = {
		now: 0,
		daemons: Array.from({length: daemonCount}, () => ({lease: initialLeaseState, writes: 0, call: undefined})),
		object: {
			version: 0, record: undefined, ownSequence: undefined, writer: -1,
		},
	};
	// The first daemon holds the lease and the others have seen that.
	const held = runOnce(runOnce(empty, 0), 0);
	const seen = held.daemons.slice(1).reduce((world, _, index) => runOnce(world, index + 1), held);

	return {
		initial: seen,
		next: world => [
			...world.daemons.flatMap((_, index) => eventsOf(world, index)),
			{event: 'a second passes', state: {...world, now: world.now + STEP_MS}},
		],
		keyOf,
		check(world) {
			const holders = world.daemons.flatMap((daemon, index) => deciderOf(index, daemon.lease).held(world.now) ?? []);
			return holders.length > 1 ? `${holders.length} daemons hold the lease at ${world.now} ms` : undefined;
		},
	};
}

function print(subject: string, found: Exploration): void {
	const end = found.violation ? `; caught: ${found.violation.events.join(', ')}` : '';
	console.log(`${subject}: ${found.states} states, ${found.transitions} transitions${end}`);
}

test('two daemons, 14 events from a held lease: never two holders', () => {
	const found = explore(createModel(2, createLeaseDecider), 14);
	print('two daemons', found);
	assert.is(found.violation, undefined);
});

test('three daemons, 10 events from a held lease: never two holders', () => {
	const found = explore(createModel(3, createLeaseDecider), 10);
	print('three daemons', found);
	assert.is(found.violation, undefined);
});

/** Counts a lease from the answer to its write instead of from its sending. */
const countingFromAnswer: DeciderFactory = (self, options, initial) => {
	let inner = createLeaseDecider(self, options, initial);
	return {
		decide: (role, sequence, now) => inner.decide(role, sequence, now),
		observe(snapshot, now) {
			inner.observe(snapshot, now);
		},
		settle(outcome, record, now) {
			const {pending} = inner.state();
			inner = createLeaseDecider(self, options, {...inner.state(), pending: pending && {...pending, sentAt: now}});
			inner.settle(outcome, record, now);
		},
		held: now => inner.held(now),
		state: () => inner.state(),
	};
};

test('a lease counted from the answer is caught', () => {
	const found = explore(createModel(2, countingFromAnswer), 16);
	print('counted from the answer', found);
	assert.ok(found.violation);
});

/** Takes a lease over without waiting for the old holder's end. */
const impatient: DeciderFactory = (self, options, initial) => {
	const inner = createLeaseDecider(self, options, initial);
	return {
		...inner,
		observe(snapshot, now) {
			inner.observe({...snapshot, record: snapshot.record && {...snapshot.record, durationMs: -options.marginMs}}, now);
		},
	};
};

test('a takeover without a wait is caught', () => {
	const found = explore(createModel(2, impatient), 16);
	print('without a wait', found);
	assert.ok(found.violation);
});

test.run();
