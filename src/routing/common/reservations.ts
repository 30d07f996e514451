/**
 * Servers that daemons have reserved for one suspect request each, spread as rumors. A reservation that reaches a daemon
 * late costs only the isolation of that one try; what counts as blame does not rest on it.
 */
import {createServiceKey} from '../../kernel/common/contribution.js';
import type {Membership} from '../../membership/common/membership.js';

/** Reservations of the whole fleet as one daemon sees them. */
export type Reservations = {
	readonly announce: (serverIds: readonly string[]) => void;
	readonly isReservedElsewhere: (serverId: string) => boolean;
	/** Whether this daemon goes first on a server that it has reserved: no daemon with a lower id has reserved it as well. */
	readonly goesFirst: (serverId: string) => boolean;
	/** Takes the reservations of another daemon as it told them directly. */
	readonly note: (daemonId: string, serverIds: readonly string[]) => void;
};

/** The daemon's view of reservations. */
export const reservationsKey = createServiceKey<Reservations>('reservations');

type Held = {
	readonly daemonId: string;
	readonly servers: readonly string[];
	readonly heardAt: number;
};

const TOPIC = 'reserved-servers';
/** A reservation that is not renewed is dropped after this time, so that a dead daemon does not hold a server. */
const EXPIRY_MS = 10_000;
/** Rumors are small, so no more servers than this are named. */
const MAXIMUM_NAMED = 8;

function parseServerIds(value: string): readonly string[] {
	const parsed: unknown = JSON.parse(value);
	return Array.isArray(parsed) ? parsed.filter(id => typeof id === 'string') : [];
}

/** Creates the reservations of a daemon. `monotonic` gives the present time in milliseconds. */
export function createReservations(membership: Membership, monotonic: () => number): Reservations {
	const elsewhere = new Map<string, Held>();
	let announced: readonly string[] = [];
	let version = 0;

	function note(source: string, daemonId: string, servers: readonly string[]): void {
		elsewhere.set(source, {daemonId, servers, heardAt: monotonic()});
	}

	function listHolders(serverId: string): readonly string[] {
		return [...elsewhere.values()]
			.filter(entry => entry.servers.includes(serverId) && monotonic() - entry.heardAt < EXPIRY_MS)
			.map(entry => entry.daemonId);
	}

	membership.onDidHear(rumor => {
		if (rumor.topic === TOPIC && rumor.origin !== membership.self().id) {
			note(rumor.origin, rumor.origin, parseServerIds(rumor.value));
		}
	});

	return {
		note(daemonId, serverIds) {
			// Kept apart from rumors, which may be older and arrive later.
			serverIds.forEach(serverId => {
				note(`${daemonId} ${serverId}`, daemonId, [serverId]);
			});
		},
		announce(serverIds) {
			if (serverIds.length === 0 && announced.length === 0) {
				return;
			}

			announced = serverIds;
			// The incarnation keeps versions rising over a restart.
			version = Math.max(version + 1, membership.self().incarnation * 1000);
			membership.spread({
				topic: TOPIC, origin: membership.self().id, version, value: JSON.stringify(serverIds.slice(0, MAXIMUM_NAMED)),
			});
		},
		isReservedElsewhere: serverId => listHolders(serverId).length > 0,
		goesFirst: serverId => listHolders(serverId).every(holder => holder > membership.self().id),
	};
}
