/** Chooses the updates of the next message: those sent the fewest times first, among these the newest first. Each is sent a bounded number of times. */

/** Pending updates by key. A newer update of a key replaces the older one. */
export type BroadcastQueue = {
	readonly add: (key: string) => void;
	readonly remove: (key: string) => void;
	/** Returns up to `limit` keys and counts one transmission of each. A key is removed after `maximumTransmissions`. */
	readonly take: (limit: number, maximumTransmissions: number) => readonly string[];
	readonly size: () => number;
};

/** Creates an empty queue. */
export function createBroadcastQueue(): BroadcastQueue {
	const transmissions = new Map<string, number>();

	function countTransmission(key: string, maximumTransmissions: number): void {
		const count = (transmissions.get(key) ?? 0) + 1;
		if (count >= maximumTransmissions) {
			transmissions.delete(key);
			return;
		}

		transmissions.set(key, count);
	}

	return {
		add(key) {
			// Deleting the key first moves it to the end of the map's order, as the newest one.
			transmissions.delete(key);
			transmissions.set(key, 0);
		},
		remove(key) {
			transmissions.delete(key);
		},
		take(limit, maximumTransmissions) {
			// The sort is stable, so among keys with equal counts the newest is first.
			const keys = [...transmissions].toReversed().toSorted((a, b) => a[1] - b[1]).slice(0, limit).map(([key]) => key);
			keys.forEach(key => {
				countTransmission(key, maximumTransmissions);
			});
			return keys;
		},
		size: () => transmissions.size,
	};
}

/** Transmissions of an update per decimal digit of the fleet's size, and their minimum. */
const TRANSMISSIONS_PER_DECIMAL_DIGIT = 4;
const MINIMUM_TRANSMISSIONS = 10;

/** Returns how often one daemon sends an update. Daemons that it does not reach find the difference by comparing digests. */
export function transmissionsFor(fleetSize: number): number {
	return Math.max(MINIMUM_TRANSMISSIONS, TRANSMISSIONS_PER_DECIMAL_DIGIT * Math.ceil(Math.log10(fleetSize + 1)));
}
