/** Sends crashes to other daemons over Connect RPC and by gossip. */
import type {Client} from '@connectrpc/connect';
import {z} from 'zod';
import type {Disposable} from '../../base/common/disposable.js';
import type {Clock} from '../../base/common/clock.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {Reservations} from '../../routing/common/reservations.js';
import type {Shards} from '../../leases/common/shards.js';
import type {Membership} from '../../membership/common/membership.js';
import {SuspectService} from '../../peers/common/gen/rosemaryshore/requests/v1/suspects_pb.js';
import type {Peers} from '../../peers/common/peers.js';
import type {Crash, SuspectTable} from '../common/suspect-table.js';
import type {SuspectTransport} from '../common/suspect-transport.js';
import {groupByShard, type SuspectOwner} from './suspect-owner.js';

/** Dependencies of a suspect transport. */
export type SuspectTransportDependencies = {
	readonly peers: Peers;
	readonly membership: Membership;
	readonly shards: Shards;
	readonly owner: SuspectOwner;
	readonly reservations: Pick<Reservations, 'record' | 'hasPrecedence'>;
	readonly table: SuspectTable;
	readonly clock: Clock;
	readonly loop: Loop;
};

const TOPIC = 'suspects';
const REPORT_TIMEOUT_MS = 1000;
const ANNOUNCE_TIMEOUT_MS = 500;
/** Time for which a report waits for the store; the write continues afterwards. */
const PERSIST_WAIT_MS = 300;

/** Short field names keep gossip messages small. */
const rumorValue = z.array(z.object({
	f: z.string(), c: z.string(), a: z.boolean(), s: z.string(), t: z.number(), i: z.boolean().default(false),
}));

function writeRumor(crashes: readonly Crash[]): string {
	return JSON.stringify(crashes.map(crash => ({
		f: crash.fingerprint, c: crash.crashId, a: crash.acquitted, s: crash.serverId, t: crash.at, i: crash.alone,
	})));
}

function parseRumor(value: string): readonly Crash[] {
	const parsed = rumorValue.safeParse(JSON.parse(value));
	return (parsed.data ?? []).map(({
		f, c, a, s, t, i,
	}) => ({
		fingerprint: f, crashId: c, acquitted: a, serverId: s, at: t, alone: i,
	}));
}

/** Creates the transport of a daemon; serves calls of peers and listens to gossip. */
export function createConnectSuspectTransport(dependencies: SuspectTransportDependencies): SuspectTransport & Disposable {
	const {
		peers, membership, shards, owner, table, clock, loop, reservations,
	} = dependencies;
	let rumorVersion = 0;

	async function callOthers(call: (client: Client<typeof SuspectService>) => Promise<unknown>): Promise<void> {
		const others = membership.members().filter(member => member.id !== membership.self().id);
		await Promise.allSettled(others.map(async member => call(peers.client(SuspectService, member, ANNOUNCE_TIMEOUT_MS))));
	}

	async function announce(crashes: readonly Crash[]): Promise<void> {
		await callOthers(async client => client.announce({crashes: [...crashes]}));
	}

	async function acceptReport(shard: number, crashes: readonly Crash[]): Promise<boolean> {
		if (!shards.holding(shard, clock.monotonic())) {
			return false;
		}

		table.add(crashes, clock.monotonic());
		await Promise.all([
			announce(crashes),
			Promise.race([owner.persist(shard, crashes), loop.sleep(PERSIST_WAIT_MS)]),
		]);
		return true;
	}

	async function reportTo(shard: number, crashes: readonly Crash[]): Promise<boolean> {
		const shardOwner = shards.owner(shard, clock.monotonic());
		if (shardOwner === undefined || shardOwner.daemonId === membership.self().id) {
			return acceptReport(shard, crashes);
		}

		try {
			const response = await peers.client(SuspectService, shardOwner, REPORT_TIMEOUT_MS).report({shard, crashes: [...crashes]});
			return response.kept;
		} catch {
			return false;
		}
	}

	peers.serve(SuspectService, {
		report: async request => ({kept: await acceptReport(request.shard, request.crashes)}),
		announce(request) {
			table.add(request.crashes, clock.monotonic());
			return {};
		},
		reserve(request) {
			reservations.record(request.daemonId, [request.serverId]);
			return {};
		},
	});
	const rumorListener = membership.onDidReceiveRumor(rumor => {
		if (rumor.topic === TOPIC) {
			table.add(parseRumor(rumor.value), clock.monotonic());
		}
	});

	return {
		async report(crashes) {
			const accepted = await Promise.all(groupByShard(crashes, shards.count).map(async group => reportTo(group.shard, group.crashes)));
			return accepted.every(Boolean);
		},
		announce,
		async reserve(serverId) {
			await callOthers(async client => client.reserve({daemonId: membership.self().id, serverId}));
		},
		hasPrecedence: reservations.hasPrecedence,
		spread(crashes) {
			// Including the incarnation keeps versions increasing across a restart.
			rumorVersion = Math.max(rumorVersion + 1, membership.self().incarnation * 1000);
			membership.spread({
				topic: TOPIC,
				origin: membership.self().id,
				version: rumorVersion,
				value: writeRumor(crashes),
			});
		},
		dispose: rumorListener.dispose,
	};
}
