/** Simulated network between daemons in one process: membership, calls, gossip and one shard with a fixed owner. */
import {createEmitter} from '../../../base/common/event.js';
import type {Random} from '../../../base/common/random.js';
import type {Loop} from '../../../kernel/common/loop.js';
import type {Shards} from '../../../leases/common/shards.js';
import type {Member, Membership, Rumor} from '../../../membership/common/membership.js';
import type {Peers} from '../../../peers/common/peers.js';

type Methods = Record<string, (request: unknown) => unknown>;

/** The network of one simulation. */
export type SuspectNetwork = {
	readonly createMembership: (id: string) => Membership;
	readonly createPeers: (id: string) => Peers;
	readonly shardsOf: (id: string) => Shards;
	/** Delivers the rumors that others have spread to a daemon that joined later. */
	readonly catchUp: (id: string) => void;
	readonly setLoss: (share: number) => void;
};

/** Creates a network; with `isolated` it delivers nothing. */
export function createSuspectNetwork(daemonIds: readonly string[], loop: Loop, random: Random, isolated: boolean): SuspectNetwork {
	const rumorsByDaemon = new Map(daemonIds.map(id => [id, createEmitter<Rumor>()]));
	const services = new Map<string, Methods>();
	const rumors = new Map<string, Rumor>();
	let loss = 0;

	const memberOf = (id: string): Member => ({
		id, incarnation: 1, state: 'alive', address: id, peerPort: 1, availabilityZone: 'a', protocol: 1,
	});

	function createMembership(id: string): Membership {
		const never = createEmitter<never>().event;
		return {
			self: () => memberOf(id),
			members: () => daemonIds.map(memberOf),
			find: memberOf,
			onDidChange: never,
			leave: () => undefined,
			spread(rumor) {
				rumors.set(`${rumor.topic} ${rumor.origin}`, rumor);
				daemonIds.filter(other => other !== id && !isolated).forEach(other => {
					loop.after(200 + (random() * 1500), () => {
						rumorsByDaemon.get(other)?.fire(rumor);
					});
				});
			},
			rumors: () => [],
			onDidReceiveRumor: rumorsByDaemon.get(id)!.event,
		};
	}

	/** Creates the calls between daemons in one process; each is typed by the service that it names. */
	function createPeers(id: string): Peers {
		const call = (address: string, method: string) => async (request: unknown) => {
			await loop.sleep(random() * 10);
			if (isolated || random() < loss) {
				throw new Error('cut');
			}

			return services.get(address)?.[method]?.(request);
		};

		return {
			serve(_service, implementation) {
				// The fake network calls methods by name; the types of the generated clients ensure that requests match.
				services.set(id, implementation as unknown as Methods);
			},
			client: (_service, peer) => new Proxy({}, {get: (_target, method) => call(peer.address, String(method))}) as never,
			traffic: () => ({sent: 0, received: 0}),
		};
	}

	const shardsOf = (id: string): Shards => ({
		count: 1,
		holding: (shard, now) => id === 'entry-1' ? {shard, fencing: 1, validUntil: now + 1000} : undefined,
		owner: shard => ({
			shard, daemonId: 'entry-1', address: 'entry-1', peerPort: 1,
		}),
		onDidAcquire: createEmitter<never>().event,
		onDidLose: createEmitter<never>().event,
		reportWrongOwner: () => undefined,
	});

	return {
		createMembership,
		createPeers,
		shardsOf,
		catchUp(id) {
			[...rumors.values()].filter(rumor => rumor.origin !== id).forEach(rumorsByDaemon.get(id)!.fire);
		},
		setLoss(share) {
			loss = share;
		},
	};
}
