/** Chooses which updates go into the next message: those sent the fewest times, the newest first, each a bounded number of times. */

/** Updates that wait to be spread, by key. A newer update of a key replaces the older one. */
export type BroadcastQueue = {
	readonly add: (key: string) => void;
	readonly remove: (key: string) => void;
	/** Takes up to `limit` keys, counting a transmission of each; `maximumTransmissions` drops a key afterwards. */
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
			// Deleting first makes the key the newest one.
			transmissions.delete(key);
			transmissions.set(key, 0);
		},
		remove(key) {
			transmissions.delete(key);
		},
		take(limit, maximumTransmissions) {
			// The sort is stable, so among equals the newest goes first.
			const keys = [...transmissions].toReversed().toSorted((a, b) => a[1] - b[1]).slice(0, limit).map(([key]) => key);
			keys.forEach(key => {
				countTransmission(key, maximumTransmissions);
			});
			return keys;
		},
		size: () => transmissions.size,
	};
}

/** Transmissions of an update per decimal place of the fleet's size, and at least. */
const TRANSMISSIONS_PER_PLACE = 4;
const MINIMUM_TRANSMISSIONS = 10;

/** Returns how often one daemon sends an update; digests find the few daemons that it does not reach. */
export function transmissionsFor(fleetSize: number): number {
	return Math.max(MINIMUM_TRANSMISSIONS, TRANSMISSIONS_PER_PLACE * Math.ceil(Math.log10(fleetSize + 1)));
}
