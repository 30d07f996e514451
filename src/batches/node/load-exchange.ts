/** Tells other owners of batches what this daemon has under way on engines: soon after a change, and again while work lasts. */
import type {Clock} from '../../base/common/clock.js';
import type {ServerView} from '../../gateway/common/server-view.js';
import type {Log} from '../../kernel/common/log.js';
import type {PeerDaemon, PeerMesh} from '../../peers/common/peer-mesh.js';
import type {EngineCounts, SharedLoads} from '../../gateway/common/shared-loads.js';

/** The exchange of one daemon. */
export type LoadExchange = {
	/** Sends what has changed to the given owners. */
	readonly tick: (owners: readonly PeerDaemon[], now: number) => void;
};

/** What the exchange works with. */
export type ExchangeParts = {
	readonly loads: SharedLoads;
	readonly view: ServerView;
	readonly mesh: PeerMesh;
	readonly clock: Clock;
	readonly log: Log;
};

/** Counts that did not change are said again after this time. */
const REPEAT_MS = 500;
const CALL_TIMEOUT_MS = 400;

/** Creates the exchange. */
export function createLoadExchange(parts: ExchangeParts): LoadExchange {
	const {
		loads, view, mesh, clock, log,
	} = parts;
	let said = '';
	let saidAt = Number.NEGATIVE_INFINITY;

	mesh.handle('engine-loads', async body => {
		// The body is what `tick` sent from another daemon.
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		const {owner, counts} = body as {owner: string; counts: EngineCounts};
		loads.learn(owner, counts, clock.monotonic());
		return {status: 200, body: null};
	});

	return {
		tick(owners, now) {
			const counts = loads.own(view.all().map(entry => entry.id));
			const text = JSON.stringify(counts);
			const isSame = text === said;
			if (isSame && (text === '{}' || now - saidAt < REPEAT_MS)) {
				return;
			}

			said = text;
			saidAt = now;
			owners.forEach(owner => {
				void mesh.call(owner, 'engine-loads', {owner: mesh.self.name, counts}, CALL_TIMEOUT_MS).then(reply => {
					if (reply.isErr()) {
						log.debug('load not passed on', {to: owner.name, reason: reply.error.message});
					}
				});
			});
		},
	};
}
