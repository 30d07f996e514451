/** Remembers which engines refused a model a moment ago, as engines do while they load weights or are full. */

/** Refusals as one daemon has met them. */
export type RefusalMemory = {
	readonly note: (serverId: string, model: string, now: number) => void;
	readonly isRecent: (serverId: string, model: string, now: number) => boolean;
	readonly forget: (serverId: string, model: string) => void;
};

/** First pause after a refusal; it doubles with each further one. */
const FIRST_PAUSE_MS = 120;
const LONGEST_PAUSE_MS = 500;

/** Creates an empty memory. */
export function createRefusalMemory(): RefusalMemory {
	const refusals = new Map<string, {readonly pauseMs: number; readonly until: number}>();
	return {
		note(serverId, model, now) {
			const key = `${serverId} ${model}`;
			const known = refusals.get(key);
			// Requests that were sent together are refused together.
			if (known !== undefined && now < known.until) {
				return;
			}

			const pauseMs = known === undefined ? FIRST_PAUSE_MS : Math.min(LONGEST_PAUSE_MS, 2 * known.pauseMs);
			refusals.set(key, {pauseMs, until: now + pauseMs});
		},
		isRecent: (serverId, model, now) => now < (refusals.get(`${serverId} ${model}`)?.until ?? 0),
		forget(serverId, model) {
			refusals.delete(`${serverId} ${model}`);
		},
	};
}
