/** Provides the configuration of the fleet, i.e. the lists of plans and grants. */
import {auditKey} from '../audit/common/audit.js';
import {registerContribution} from '../kernel/common/registry.js';
import {membershipKey} from '../membership/common/membership.js';
import {peersKey} from '../peers/common/peers.js';
import {snapshotsKey} from '../persistence/common/snapshots.js';
import {storeKey} from '../adapters/common/store.js';
import {configurationKey} from './common/configuration.js';
import {createConfigurationService} from './common/configuration-service.js';
import {createConnectConfigurationTransport, serveConfiguration} from './node/connect-configuration-transport.js';

registerContribution({
	id: 'plans',
	requires: ['platform', 'peers', 'persistence', 'audit', 'membership'],
	async start(context) {
		const peers = context.use(peersKey);
		const service = createConfigurationService({
			membership: context.use(membershipKey),
			store: context.use(storeKey),
			transport: createConnectConfigurationTransport(peers),
			audit: context.use(auditKey),
			snapshots: context.use(snapshotsKey),
			loop: context.loop,
			clock: context.clock,
			random: context.random,
			log: context.log,
		});
		serveConfiguration(peers, service);
		context.provide(configurationKey, service);
		await service.recover();
		context.log.info('configuration in force', {version: service.current().version});
		return {
			dispose() {
				service.dispose();
			},
		};
	},
});
