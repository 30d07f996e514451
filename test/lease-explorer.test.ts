import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	createLeaseDecider, initialLeaseState, type LeaseAction, type LeaseDecider, type LeaseState,
} from '../src/leases/common/lease-decider.js';
import type {LeaseSnapshot} from '../src/leases/common/lease-record.js';
import {explore, type Exploration, type Model} from './fakes/explorer.js';

const test = suite('lease decider in every order of events');

const STEP_MS = 1000;
const times = {
	durationMs: 2000, renewMs: 1000, marginMs: 1000, standbyDelayMs: 0,
};

/** Returns a key of a lease object: its version, its writer's sequence and the parts of its record that differ between states. */
function keyOfSnapshot({version, ownSequence, record}: LeaseSnapshot): string {
	return `${version} ${ownSequence} ${record?.daemonId} ${record?.released} ${record?.fencing}`;
}

function keyOfCall(call: Call | undefined): string {
	const answer = call?.answer === undefined || call.answer === 'conflict' ? call?.answer : keyOfSnapshot(call.answer);
	const action = call?.action.kind === 'write' ? `${call.action.write.kind} ${call.action.write.sequence} ${call.action.write.ifVersion} ${call.action.write.record.fencing}` : call?.action.kind;
	return `${action} ${answer}`;
}

/** Returns a key of a state. Times are relative to `now`, because only differences of times affect the decider. */
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

/** A call to the store that is in flight, or whose answer is. */
type Call = {
	readonly action: Exclude<LeaseAction, {readonly kind: 'none'}>;
	/** The answer of the store; undefined until the call has arrived there. */
	readonly answer: LeaseSnapshot | 'conflict' | undefined;
};

/** Times further back than this have the same effect on the decider, so their key is the same. */
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

	/** Returns the object as a daemon reads it: `ownSequence` is set only when this daemon wrote it. */
	function snapshotFor(world: World, index: number): LeaseSnapshot {
		const {version, record, ownSequence, writer} = world.object;
		return {version, record, ownSequence: writer === index ? ownSequence : undefined};
	}

	function decide(world: World, index: number, mustRelease: boolean): World {
		const daemon = world.daemons[index]!;
		const decider = deciderOf(index, daemon.lease);
		const action = decider.decide({rank: index, mustRelease}, `${daemon.writes}`, world.now);
		const isWrite = action.kind === 'write';
		return replaceDaemon(world, index, {
			lease: decider.state(),
			writes: daemon.writes + (isWrite ? 1 : 0),
			call: action.kind === 'none' ? daemon.call : {action, answer: undefined},
		});
	}

	function applyCall(world: World, index: number): World {
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

	function receiveAnswer(world: World, index: number, isLost: boolean): World {
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
			return [{event: `call of ${index} arrives`, state: applyCall(world, index)}];
		}

		return [
			{event: `answer reaches ${index}`, state: receiveAnswer(world, index, false)},
			...(call.action.kind === 'write' ? [{event: `answer to ${index} is lost`, state: receiveAnswer(world, index, true)}] : []),
		];
	}

	/** Runs one decision of a daemon with its call and the answer. */
	function decideAndSettle(world: World, index: number): World {
		return receiveAnswer(applyCall(decide(world, index, false), index), index, false);
	}

	const empty: World = {
		now: 0,
		daemons: Array.from({length: daemonCount}, () => ({lease: initialLeaseState, writes: 0, call: undefined})),
		object: {
			version: 0, record: undefined, ownSequence: undefined, writer: -1,
		},
	};
	// Initially the first daemon holds the lease and the others have read this.
	const heldByFirst = decideAndSettle(decideAndSettle(empty, 0), 0);
	const initial = heldByFirst.daemons.slice(1).reduce((world, _, index) => decideAndSettle(world, index + 1), heldByFirst);

	return {
		initial,
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

function printExploration(subject: string, found: Exploration): void {
	const end = found.violation ? `; caught: ${found.violation.events.join(', ')}` : '';
	console.log(`${subject}: ${found.states} states, ${found.transitions} transitions${end}`);
}

test('two daemons never hold the lease at the same time, in every order of 14 events', () => {
	const found = explore(createModel(2, createLeaseDecider), 14);
	printExploration('two daemons', found);
	assert.is(found.violation, undefined);
});

test('of three daemons, never two hold the lease at the same time, in every order of 10 events', () => {
	const found = explore(createModel(3, createLeaseDecider), 10);
	printExploration('three daemons', found);
	assert.is(found.violation, undefined);
});

/** Measures the duration of a lease from the answer to its write, not from the sending of the write. */
const measuringFromAnswer: DeciderFactory = (self, options, initial) => {
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

test('when a lease is measured from the answer to its write, the exploration finds two holders', () => {
	const found = explore(createModel(2, measuringFromAnswer), 16);
	printExploration('measured from the answer', found);
	assert.ok(found.violation);
});

/** Takes a lease over without waiting until the lease of the previous holder has expired. */
const withoutTakeoverWait: DeciderFactory = (self, options, initial) => {
	const inner = createLeaseDecider(self, options, initial);
	return {
		...inner,
		observe(snapshot, now) {
			inner.observe({...snapshot, record: snapshot.record && {...snapshot.record, durationMs: -options.marginMs}}, now);
		},
	};
};

test('when a lease is taken over without a wait, the exploration finds two holders', () => {
	const found = explore(createModel(2, withoutTakeoverWait), 16);
	printExploration('without a wait', found);
	assert.ok(found.violation);
});

test.run();
