/** What the trainers of the fleet need, as the owners of the trainers tell each other through the fleet's membership. */
import {z} from 'zod';
import type {Membership, Rumor} from '../../membership/common/membership.js';
import type {TrainerDemand} from './slot-division.js';

/** The demands that one daemon knows. */
export type DemandBoard = {
	/** Tells the fleet the demands of the trainers that this daemon owns. Repeats an unchanged value seldom. */
	readonly spread: (demands: readonly TrainerDemand[], now: number, wallNow: number) => void;
	/** All known demands, with this daemon's own as they are now. */
	readonly demands: (now: number) => readonly TrainerDemand[];
	readonly dispose: () => void;
};

const TOPIC = 'rollout-demand';
/** A demand not heard again for this long does not count any more. */
const EXPIRY_MS = 10_000;
const REPEAT_MS = 3000;
/** Change of a demand, as a share, below which it is not told before the next repetition. */
const MATERIAL_SHARE = 0.1;

const schema = z.array(z.object({
	trainer: z.string(), samples: z.number(), tokens: z.number(), isWaiting: z.boolean(),
}));

function isMaterial(a: readonly TrainerDemand[], b: readonly TrainerDemand[]): boolean {
	return a.length !== b.length || a.some((demand, index) => {
		const other = b[index];
		return other?.trainer !== demand.trainer
			|| other.isWaiting !== demand.isWaiting
			|| Math.abs(other.tokens - demand.tokens) > MATERIAL_SHARE * Math.max(other.tokens, demand.tokens);
	});
}

/** Creates a board over the fleet's membership. `monotonic` tells when a rumor was heard. */
export function createDemandBoard(membership: Pick<Membership, 'self' | 'spread' | 'members' | 'onDidHear'>, monotonic: () => number): DemandBoard {
	const heard = new Map<string, {readonly at: number; readonly demands: readonly TrainerDemand[]}>();
	let own: readonly TrainerDemand[] = [];
	let spreadAt = Number.NEGATIVE_INFINITY;
	let spreadDemands: readonly TrainerDemand[] = [];
	let version = 0;

	function hear(rumor: Rumor): void {
		if (rumor.topic !== TOPIC || rumor.origin === membership.self().id) {
			return;
		}

		const demands = schema.safeParse(JSON.parse(rumor.value));
		if (demands.success) {
			heard.set(rumor.origin, {at: monotonic(), demands: demands.data});
		}
	}

	const subscription = membership.onDidHear(hear);

	return {
		spread(demands, now, wallNow) {
			own = demands;
			const isDue = isMaterial(demands, spreadDemands) || (demands.length > 0 && now - spreadAt >= REPEAT_MS);
			if (!isDue) {
				return;
			}

			// Wall time keeps versions rising over a restart of the daemon.
			version = Math.max(version + 1, Math.floor(wallNow));
			spreadAt = now;
			spreadDemands = demands;
			const rounded = demands.map(demand => ({...demand, tokens: Math.round(demand.tokens)}));
			membership.spread({
				topic: TOPIC, origin: membership.self().id, version, value: JSON.stringify(rounded),
			});
		},
		demands(now) {
			const present = new Set(membership.members().map(member => member.id));
			const others = [...heard]
				.filter(([origin, entry]) => now - entry.at <= EXPIRY_MS && present.has(origin))
				.flatMap(([, entry]) => entry.demands)
				.filter(demand => !own.some(mine => mine.trainer === demand.trainer));
			return [...own, ...others];
		},
		dispose: subscription.dispose,
	};
}
