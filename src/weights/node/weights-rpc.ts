/** The weight service between daemons: its served side and its client. */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import type {ShardOwner} from '../../leases/common/shards.js';
import {callPeer} from '../../peers/common/peer-call.js';
import type {Peers} from '../../peers/common/peers.js';
import {WeightService} from '../../peers/common/gen/rosemaryshore/weights/v1/weights_pb.js';
import type {BookChanges} from '../common/version-book.js';
import type {Target} from '../common/target-keeper.js';

/** What the served side needs. */
export type WeightsSide = {
	/** The changes of an owned pool; undefined when this daemon does not own it. */
	readonly changes: (pool: string, position: {readonly book: string; readonly revision: number}) => BookChanges | undefined;
	readonly announced: (pool: string, target: Target) => void;
};

/** Calls to the owner of a pool. */
export type WeightsClient = {
	readonly readChanges: (owner: ShardOwner, pool: string, position: {readonly book: string; readonly revision: number}) => Promise<Result<BookChanges | undefined, Failure>>;
	readonly announce: (owner: ShardOwner, pool: string, target: Target) => Promise<Result<void, Failure>>;
};

const CALL_TIMEOUT_MS = 2000;

/** Offers this daemon's pools to its peers. */
export function serveWeights(peers: Peers, side: WeightsSide): void {
	peers.serve(WeightService, {
		readVersions(request) {
			const changes = side.changes(request.pool, {book: request.book, revision: Number(request.since)});
			return changes === undefined
				? {owned: false}
				: {
					owned: true, book: changes.book, revision: BigInt(changes.revision), targets: [...changes.targets], engines: [...changes.entries],
				};
		},
		announceTarget(request) {
			side.announced(request.pool, {model: request.model, version: request.version});
			return {};
		},
	});
}

/** Creates the client side. */
export function createWeightsClient(peers: Peers): WeightsClient {
	const clientOf = (owner: ShardOwner) => peers.client(WeightService, owner, CALL_TIMEOUT_MS);
	return {
		async readChanges(owner, pool, position) {
			return callPeer('read engine versions', owner, async () => {
				const answer = await clientOf(owner).readVersions({pool, book: position.book, since: BigInt(position.revision)});
				return answer.owned
					? {
						book: answer.book, revision: Number(answer.revision), targets: answer.targets, entries: answer.engines,
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
