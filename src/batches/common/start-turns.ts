/**
 * Whose items start first when the engines are full. Owners tell each other how much time each waiting item has left before
 * it must start; the least goes first, so that a long item of a new batch does not wait behind short ones that are due
 * earlier. Items of groups that can not be in time any more take what is left. Without a word from another owner, or when it
 * does not take its places soon, the places are open to all.
 */

/** The turn of an item that waits. */
export type Turn = {
	readonly batchId: string;
	/** Time until the item must start to be in time, in milliseconds; negative when it is too late. */
	readonly slackMs: number;
	/** Its group can not be in time any more. */
	readonly isHopeless: boolean;
};

/** Items of one batch that wait for a place. */
export type Demand = {
	readonly batchId: string;
	readonly model: string;
	readonly oldestVersion: number;
	/** Slack of each item whose group may still be in time. */
	readonly slacksMs: readonly number[];
	/** Items of groups that can not be in time any more. */
	readonly hopeless: number;
};

/** An engine with free places that a batch may take. */
export type FreeEngine = {
	readonly id: string;
	readonly places: number;
};

/** The turns as one daemon knows them. */
export type StartTurns = {
	/** Takes what another owner has waiting. */
	readonly learn: (owner: string, demands: readonly Demand[], now: number) => void;
	/** The engines of a list that a batch may take now. `fits` tells whether an engine serves a demand. */
	readonly choose: (own: Turn, engines: readonly FreeEngine[], fits: (engineId: string, demand: Demand) => boolean, now: number) => readonly string[];
};

/** What another owner said counts for this long; owners with items that wait repeat it sooner. */
const WORD_MS = 1200;
/** Places that were left to others for this long without being taken are open: a call between regions and a turn of a small VM fit into it. */
const LONGEST_YIELD_MS = 300;

/** What a batch that ended had left to others is forgotten after this time. */
const FORGET_YIELD_MS = 60_000;

type Word = {
	readonly demands: readonly Demand[];
	readonly at: number;
};

/** Items of a demand that go before an item with the given turn. */
function countFirst(demand: Demand, own: Turn, passedMs: number): number {
	if (demand.batchId === own.batchId) {
		return 0;
	}

	return own.isHopeless
		? demand.slacksMs.length + (demand.batchId < own.batchId ? demand.hopeless : 0)
		: demand.slacksMs.filter(slackMs => slackMs - passedMs < own.slackMs).length;
}

/** Creates turns without other owners. */
export function createStartTurns(): StartTurns {
	const words = new Map<string, Word>();
	/** Since when each batch has left places to others, or undefined while none were free. */
	const yieldingSince = new Map<string, number>();

	function listFirst(own: Turn, now: number): ReadonlyArray<{readonly demand: Demand; readonly count: number}> {
		return [...words.values()]
			.filter(word => now - word.at < WORD_MS)
			.flatMap(word => word.demands.map(demand => ({demand, count: countFirst(demand, own, now - word.at)})))
			.filter(({count}) => count > 0);
	}

	return {
		learn(owner, demands, now) {
			words.set(owner, {demands, at: now});
			[...words].filter(([, word]) => now - word.at > WORD_MS).forEach(([name]) => {
				words.delete(name);
			});
		},
		choose(own, engines, fits, now) {
			const first = listFirst(own, now);
			const wanted = engines.filter(engine => first.some(({demand}) => fits(engine.id, demand)));
			const places = wanted.reduce((sum, engine) => sum + engine.places, 0);
			const waiting = first.reduce((sum, {count}) => sum + count, 0);
			[...yieldingSince].filter(([, at]) => now - at > FORGET_YIELD_MS).forEach(([batchId]) => {
				yieldingSince.delete(batchId);
			});
			if (places === 0 || places > waiting) {
				yieldingSince.delete(own.batchId);
				return engines.map(engine => engine.id);
			}

			const since = yieldingSince.get(own.batchId) ?? now;
			yieldingSince.set(own.batchId, since);
			const isOpen = now - since > LONGEST_YIELD_MS;
			return engines.filter(engine => isOpen || !wanted.includes(engine)).map(engine => engine.id);
		},
	};
}
