/** Records which engines recently refused requests for a model, which they do while they load weights or are full. */

/** Recent refusals that one daemon received, by engine and model. */
export type RecentRefusals = {
	readonly record: (serverId: string, model: string, now: number) => void;
	readonly isRecent: (serverId: string, model: string, now: number) => boolean;
	readonly forget: (serverId: string, model: string) => void;
};

/** Time without requests after the first refusal; it doubles with each further one, up to the maximum. */
const INITIAL_BACKOFF_MS = 120;
const MAXIMUM_BACKOFF_MS = 500;

/** Creates a record without refusals. */
export function createRecentRefusals(): RecentRefusals {
	const refusals = new Map<string, {readonly backoffMs: number; readonly until: number}>();
	return {
		record(serverId, model, now) {
			const key = `${serverId} ${model}`;
			const known = refusals.get(key);
			// Requests that were sent at the same time are refused at the same time, and count as one refusal.
			if (known !== undefined && now < known.until) {
				return;
			}

			const backoffMs = known === undefined ? INITIAL_BACKOFF_MS : Math.min(MAXIMUM_BACKOFF_MS, 2 * known.backoffMs);
			refusals.set(key, {backoffMs, until: now + backoffMs});
		},
		isRecent: (serverId, model, now) => now < (refusals.get(`${serverId} ${model}`)?.until ?? 0),
		forget(serverId, model) {
			refusals.delete(`${serverId} ${model}`);
		},
	};
}
