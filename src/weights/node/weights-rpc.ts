/** The weight service between daemons: server and client. */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import type {ShardOwner} from '../../leases/common/shards.js';
import {callPeer} from '../../peers/common/peer-call.js';
import type {Peers} from '../../peers/common/peers.js';
import {WeightService} from '../../peers/common/gen/rosemaryshore/weights/v1/weights_pb.js';
import type {VersionChanges} from '../common/version-table.js';
import type {Target} from '../common/target-store.js';

/** Handles the calls for pools that a daemon owns. */
export type WeightsHandler = {
	/** Returns the changes of a pool; undefined when this daemon does not own it. */
	readonly changes: (pool: string, position: {readonly book: string; readonly revision: number}) => VersionChanges | undefined;
	/** Called when another daemon announces a target of a pool. */
	readonly onTargetAnnounced: (pool: string, target: Target) => void;
};

/** Calls the owner of a pool. */
export type WeightsClient = {
	readonly readChanges: (owner: ShardOwner, pool: string, position: {readonly book: string; readonly revision: number}) => Promise<Result<VersionChanges | undefined, Failure>>;
	readonly announce: (owner: ShardOwner, pool: string, target: Target) => Promise<Result<void, Failure>>;
};

const CALL_TIMEOUT_MS = 2000;

/** Serves the calls of other daemons for the pools that this daemon owns. */
export function serveWeights(peers: Peers, handler: WeightsHandler): void {
	peers.serve(WeightService, {
		readVersions(request) {
			const changes = handler.changes(request.pool, {book: request.book, revision: Number(request.since)});
			return changes === undefined
				? {owned: false}
				: {
					owned: true, book: changes.book, revision: BigInt(changes.revision), targets: [...changes.targets], engines: [...changes.entries],
				};
		},
		announceTarget(request) {
			handler.onTargetAnnounced(request.pool, {model: request.model, version: request.version});
			return {};
		},
	});
}

/** Creates a client. */
export function createWeightsClient(peers: Peers): WeightsClient {
	const clientOf = (owner: ShardOwner) => peers.client(WeightService, owner, CALL_TIMEOUT_MS);
	return {
		async readChanges(owner, pool, position) {
			return callPeer('read engine versions', owner, async () => {
				const response = await clientOf(owner).readVersions({pool, book: position.book, since: BigInt(position.revision)});
				return response.owned
					? {
						book: response.book, revision: Number(response.revision), targets: response.targets, entries: response.engines,
					}
					: undefined;
			});
		},
		async announce(owner, pool, target) {
			return callPeer('announce weight version', owner, async () => {
				await clientOf(owner).announceTarget({pool, ...target});
			});
		},
	};
}
