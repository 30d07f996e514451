/** Starts the daemon's participation in the shard leases. */
import {registerContribution} from '../kernel/common/registry.js';
import {membershipKey} from '../membership/common/membership.js';
import {peersKey} from '../peers/common/peers.js';
import {storeKey} from '../adapters/common/store.js';
import {settingsKey} from '../settings/common/settings.js';
import {shardsKey} from './common/shards.js';
import {createShardsService} from './common/shards-service.js';
import {createConnectLeaseTransport, serveLeases} from './node/connect-lease-transport.js';

/** Delay per rank in the order of preference before a daemon takes a free lease. */
const STANDBY_DELAY_PER_RANK_MS = 1000;

registerContribution({
	id: 'leases',
	requires: ['platform', 'peers', 'membership'],
	start(context) {
		const settings = context.use(settingsKey);
		const membership = context.use(membershipKey);
		const peers = context.use(peersKey);
		const {id, incarnation, address, peerPort} = membership.self();
		const service = createShardsService({
			self: {
				daemonId: id, incarnation, address, peerPort,
			},
			count: settings.leases.shards,
			times: {...settings.leases, standbyDelayMs: STANDBY_DELAY_PER_RANK_MS},
			store: context.use(storeKey),
			transport: createConnectLeaseTransport(peers),
			membership,
			loop: context.loop,
			clock: context.clock,
			log: context.log,
		});
		serveLeases(peers, service);
		context.provide(shardsKey, service);
		return {
			drain: async () => service.releaseAll(),
			dispose() {
				service.dispose();
			},
		};
	},
});
