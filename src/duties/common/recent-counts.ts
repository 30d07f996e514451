/** Counts events by name over the last moments. */

/** The counts. */
export type RecentCounts = {
	readonly add: (name: string, now: number) => void;
	readonly read: (now: number) => Readonly<Record<string, number>>;
};

/** Creates counts of the last `periodMs`. */
export function createRecentCounts(periodMs: number): RecentCounts {
	let events: ReadonlyArray<{readonly name: string; readonly at: number}> = [];
	/** Maximum number of events that are kept: more than any decision needs. */
	const limit = 1000;
	return {
		add(name, now) {
			events = [...events.filter(({at}) => now - at < periodMs).slice(1 - limit), {name, at: now}];
		},
		read(now) {
			const counts = new Map<string, number>();
			events.filter(({at}) => now - at < periodMs).forEach(({name}) => {
				counts.set(name, (counts.get(name) ?? 0) + 1);
			});
			return Object.fromEntries(counts);
		},
	};
}
