/** The demand of each trainer, exchanged between the owners of the trainers through membership gossip. */
import {z} from 'zod';
import type {Membership, Rumor} from '../../membership/common/membership.js';
import type {TrainerDemand} from './slot-division.js';

/** The trainer demands known to one daemon. */
export type DemandTable = {
	/** Publishes the demands of this daemon's trainers by gossip, an unchanged value only every `REPUBLISH_INTERVAL_MS`. */
	readonly publish: (demands: readonly TrainerDemand[], now: number, wallNow: number) => void;
	/** Returns the current demands of this daemon's trainers and the last unexpired ones reported by other daemons. */
	readonly demands: (now: number) => readonly TrainerDemand[];
	readonly dispose: () => void;
};

const TOPIC = 'rollout-demand';
/** A reported demand is ignored when it was not repeated for this long. */
const DEMAND_TTL_MS = 10_000;
const REPUBLISH_INTERVAL_MS = 3000;
/** Relative change of the expected tokens up to which a demand is not published before the next regular interval. */
const MATERIAL_CHANGE_SHARE = 0.1;

const schema = z.array(z.object({
	trainer: z.string(), samples: z.number(), tokens: z.number(), isWaiting: z.boolean(),
}));

function isMaterialChange(a: readonly TrainerDemand[], b: readonly TrainerDemand[]): boolean {
	return a.length !== b.length || a.some((demand, index) => {
		const other = b[index];
		return other?.trainer !== demand.trainer
			|| other.isWaiting !== demand.isWaiting
			|| Math.abs(other.tokens - demand.tokens) > MATERIAL_CHANGE_SHARE * Math.max(other.tokens, demand.tokens);
	});
}

/** Creates a table that exchanges demands through `membership`. `monotonic` gives the time at which a report is received. */
export function createDemandTable(membership: Pick<Membership, 'self' | 'spread' | 'members' | 'onDidReceiveRumor'>, monotonic: () => number): DemandTable {
	const reportByOrigin = new Map<string, {readonly at: number; readonly demands: readonly TrainerDemand[]}>();
	let ownDemands: readonly TrainerDemand[] = [];
	let publishedAt = Number.NEGATIVE_INFINITY;
	let publishedDemands: readonly TrainerDemand[] = [];
	let version = 0;

	function applyRumor(rumor: Rumor): void {
		if (rumor.topic !== TOPIC || rumor.origin === membership.self().id) {
			return;
		}

		const demands = schema.safeParse(JSON.parse(rumor.value));
		if (demands.success) {
			reportByOrigin.set(rumor.origin, {at: monotonic(), demands: demands.data});
		}
	}

	const subscription = membership.onDidReceiveRumor(applyRumor);

	return {
		publish(demands, now, wallNow) {
			ownDemands = demands;
			const isDue = isMaterialChange(demands, publishedDemands) || (demands.length > 0 && now - publishedAt >= REPUBLISH_INTERVAL_MS);
			if (!isDue) {
				return;
			}

			// Versions start from wall time, so that they keep increasing after a restart of the daemon.
			version = Math.max(version + 1, Math.floor(wallNow));
			publishedAt = now;
			publishedDemands = demands;
			const rounded = demands.map(demand => ({...demand, tokens: Math.round(demand.tokens)}));
			membership.spread({
				topic: TOPIC, origin: membership.self().id, version, value: JSON.stringify(rounded),
			});
		},
		demands(now) {
			const present = new Set(membership.members().map(member => member.id));
			const others = [...reportByOrigin]
				.filter(([origin, entry]) => now - entry.at <= DEMAND_TTL_MS && present.has(origin))
				.flatMap(([, entry]) => entry.demands)
				.filter(demand => !ownDemands.some(mine => mine.trainer === demand.trainer));
			return [...ownDemands, ...others];
		},
		dispose: subscription.dispose,
	};
}
