/** Chooses the daemons that are asked to relay attempts: near ones first, with the fewest attempts of this daemon, and not those that refused lately. */
import type {Random} from '../../base/common/random.js';
import type {PeerDaemon} from '../../peers/common/peer-mesh.js';
import type {RelayRefusal} from './relay.js';

/** The choice of one daemon. */
export type RelayChoice = {
	/** Lists the daemons to ask, best first, for an attempt at a server of the pool. */
	readonly list: (pool: string, others: readonly PeerDaemon[], now: number) => readonly PeerDaemon[];
	/** Records that an attempt was given to a daemon. The returned function records its end. */
	readonly begin: (name: string) => () => void;
	/** Records that a daemon refused an attempt. */
	readonly recordRefusal: (pool: string, name: string, reason: RelayRefusal, now: number) => void;
};

/** Time for which a daemon is not asked again after a refusal, in milliseconds. */
const AVOID_MS: Readonly<Record<RelayRefusal, number>> = {
	busy: 200, cut: 1500, unconfirmed: 0, unreachable: 1500, unsupported: 30_000,
};
/** Attempts that a daemon of the own zone may have more than one farther away, before that one is preferred. */
const DISTANCE_COST = {zone: 0, region: 4, far: 12} as const;

/** Creates a choice without recorded refusals. */
export function createRelayChoice(self: PeerDaemon, random: Random): RelayChoice {
	const openByName = new Map<string, number>();
	const avoidedUntil = new Map<string, number>();

	function costOf(daemon: PeerDaemon): number {
		const distance = daemon.availabilityZone === self.availabilityZone ? 'zone' : (daemon.region === self.region ? 'region' : 'far');
		return DISTANCE_COST[distance] + (openByName.get(daemon.name) ?? 0) + random();
	}

	return {
		list(pool, others, now) {
			[...avoidedUntil].filter(([, until]) => now >= until).forEach(([key]) => {
				avoidedUntil.delete(key);
			});
			return others
				.filter(({name}) => !avoidedUntil.has(`${pool} ${name}`))
				.map(daemon => ({daemon, cost: costOf(daemon)}))
				.toSorted((a, b) => a.cost - b.cost)
				.map(({daemon}) => daemon);
		},
		begin(name) {
			openByName.set(name, (openByName.get(name) ?? 0) + 1);
			return () => {
				const open = (openByName.get(name) ?? 1) - 1;
				if (open > 0) {
					openByName.set(name, open);
				} else {
					openByName.delete(name);
				}
			};
		},
		recordRefusal(pool, name, reason, now) {
			avoidedUntil.set(`${pool} ${name}`, now + AVOID_MS[reason]);
		},
	};
}
