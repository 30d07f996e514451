/** Fetches and serves the configuration over Connect. */
import {ConfigurationService as ConfigurationRpc} from '../../peers/common/gen/rosemaryshore/plans/v1/configuration_pb.js';
import {callPeer} from '../../peers/common/peer-call.js';
import type {PeerAddress, Peers} from '../../peers/common/peers.js';
import {ConfigurationTransport} from '../common/configuration-transport.js';
import type {ConfigurationService} from '../common/configuration-service.js';

/** Time limit of one fetch, including the peer's own wait for the version. */
const FETCH_TIMEOUT_MS = 2000;

/** Creates the client of fetch calls. */
export function createConnectConfigurationTransport(peers: Peers): ConfigurationTransport {
	return new (class extends ConfigurationTransport {
		override async fetch(peer: PeerAddress, wantedVersion: number, ownVersion: number) {
			const answer = await callPeer('fetch configuration', peer, async () =>
				peers.client(ConfigurationRpc, peer, FETCH_TIMEOUT_MS).fetch({wantedVersion: BigInt(wantedVersion), ownVersion: BigInt(ownVersion)}));
			return answer.map(body => ({version: Number(body.version), value: body.value}));
		}
	})();
}

/** Serves fetch calls to peers. */
export function serveConfiguration(peers: Peers, service: Pick<ConfigurationService, 'serve'>): void {
	peers.serve(ConfigurationRpc, {
		async fetch(request) {
			const body = await service.serve(Number(request.wantedVersion), Number(request.ownVersion));
			return {version: BigInt(body.version), value: body.value};
		},
	});
}
