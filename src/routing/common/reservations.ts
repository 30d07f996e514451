/**
 * Servers that daemons have reserved to run a single request suspected of crashing engines, spread as rumors. If a reservation
 * reaches a daemon late, only the isolation of that one attempt is lost; deciding which request caused a crash does not depend on it.
 */
import {createServiceKey} from '../../kernel/common/contribution.js';
import type {Membership} from '../../membership/common/membership.js';

/** The reservations of all daemons, as known to one daemon. */
export type Reservations = {
	readonly announce: (serverIds: readonly string[]) => void;
	readonly isReservedElsewhere: (serverId: string) => boolean;
	/** Whether this daemon has precedence on a server that it has reserved, that is, no daemon with a lower id has reserved it as well. */
	readonly hasPrecedence: (serverId: string) => boolean;
	/** Records reservations that another daemon sent directly to this one. */
	readonly record: (daemonId: string, serverIds: readonly string[]) => void;
};

/** Service key of the daemon's reservations. */
export const reservationsKey = createServiceKey<Reservations>('reservations');

type Reservation = {
	readonly daemonId: string;
	readonly servers: readonly string[];
	readonly receivedAt: number;
};

const TOPIC = 'reserved-servers';
/** A reservation that is not renewed expires after this time, so that a crashed daemon does not block a server. */
const RESERVATION_TTL_MS = 10_000;
/** Maximum number of servers in an announcement, because rumors must be small. */
const MAXIMUM_ANNOUNCED = 8;

function parseServerIds(value: string): readonly string[] {
	const parsed: unknown = JSON.parse(value);
	return Array.isArray(parsed) ? parsed.filter(id => typeof id === 'string') : [];
}

/** Creates the reservations of a daemon. `monotonic` returns the current monotonic time in milliseconds. */
export function createReservations(membership: Membership, monotonic: () => number): Reservations {
	const reservationBySource = new Map<string, Reservation>();
	let announced: readonly string[] = [];
	let version = 0;

	function recordFrom(source: string, daemonId: string, servers: readonly string[]): void {
		reservationBySource.set(source, {daemonId, servers, receivedAt: monotonic()});
	}

	function listHolders(serverId: string): readonly string[] {
		return [...reservationBySource.values()]
			.filter(entry => entry.servers.includes(serverId) && monotonic() - entry.receivedAt < RESERVATION_TTL_MS)
			.map(entry => entry.daemonId);
	}

	membership.onDidReceiveRumor(rumor => {
		if (rumor.topic === TOPIC && rumor.origin !== membership.self().id) {
			recordFrom(rumor.origin, rumor.origin, parseServerIds(rumor.value));
		}
	});

	return {
		record(daemonId, serverIds) {
			// Stored separately from rumors, because an older rumor may arrive later and would replace it.
			serverIds.forEach(serverId => {
				recordFrom(`${daemonId} ${serverId}`, daemonId, [serverId]);
			});
		},
		announce(serverIds) {
			if (serverIds.length === 0 && announced.length === 0) {
				return;
			}

			announced = serverIds;
			// Versions start at the incarnation, so that they continue to increase after a restart.
			version = Math.max(version + 1, membership.self().incarnation * 1000);
			membership.spread({
				topic: TOPIC, origin: membership.self().id, version, value: JSON.stringify(serverIds.slice(0, MAXIMUM_ANNOUNCED)),
			});
		},
		isReservedElsewhere: serverId => listHolders(serverId).length > 0,
		hasPrecedence: serverId => listHolders(serverId).every(holder => holder > membership.self().id),
	};
}
