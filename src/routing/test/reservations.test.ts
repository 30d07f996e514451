/** Guards against two daemons both using a server that they reserved at the same time. */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createEmitter} from '../../base/common/event.js';
import type {Member, Membership} from '../../membership/common/membership.js';
import {createReservations} from '../common/reservations.js';

const test = suite('reservations');

function createMembershipOf(id: string): Membership {
	const member: Member = {
		id, incarnation: 1, state: 'alive', address: id, peerPort: 1, availabilityZone: 'a', protocol: 1,
	};
	const never = createEmitter<never>().event;
	return {
		self: () => member,
		members: () => [member],
		find: () => undefined,
		onDidChange: never,
		leave: () => undefined,
		spread: () => undefined,
		rumors: () => [],
		onDidReceiveRumor: never,
	};
}

test('exactly one of two daemons that reserve the same server has precedence', () => {
	const [first, second] = ['entry-1', 'entry-2'].map(id => createReservations(createMembershipOf(id), () => 0));
	first!.record('entry-2', ['s1']);
	second!.record('entry-1', ['s1']);
	assert.equal([first, second].map(reservations => reservations!.hasPrecedence('s1')), [true, false]);
	assert.equal([first, second].map(reservations => reservations!.hasPrecedence('s2')), [true, true]);
});

test('a daemon has precedence again once the reservation of another daemon has expired', () => {
	let now = 0;
	const reservations = createReservations(createMembershipOf('entry-2'), () => now);
	reservations.record('entry-1', ['s1']);
	assert.not.ok(reservations.hasPrecedence('s1'));
	now = 60_000;
	assert.ok(reservations.hasPrecedence('s1'));
});

test.run();
