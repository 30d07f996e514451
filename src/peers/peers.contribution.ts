/** Registers the calls between daemons. Listens after all features have registered their services. */
import {formatFailure} from '../base/common/failure.js';
import {registerContribution} from '../kernel/common/registry.js';
import {settingsKey} from '../settings/common/settings.js';
import {peersKey} from './common/peers.js';
import {createConnectPeers} from './node/connect-peers.js';

registerContribution({
	id: 'peers',
	requires: [],
	start(context) {
		const {daemon} = context.use(settingsKey);
		const peers = createConnectPeers();
		context.provide(peersKey, peers);
		context.onDidStart(async () => {
			const listening = await peers.listen(daemon);
			if (listening.isErr()) {
				throw new Error(formatFailure(listening.error));
			}
		});
		return {
			dispose() {
				peers.dispose();
			},
		};
	},
});
