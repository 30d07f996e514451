/** Tries to connect to servers of pools whose links are cut, so that they are used again at once, and of pools that have gone silent, so that a cut is noticed. */
import type {Clock} from '../../base/common/clock.js';
import {joinDisposables, type Disposable} from '../../base/common/disposable.js';
import type {Random} from '../../base/common/random.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {PortState} from '../../limits/common/stopped-daemons.js';
import type {PeerAddress} from '../../peers/common/peers.js';
import type {OpenAttempts} from '../common/open-attempts.js';
import type {ServerLinks} from '../common/server-links.js';
import type {ServerEntry, ServerView} from '../common/server-view.js';

/** Dependencies of the monitor. */
export type LinkMonitorDependencies = {
	readonly links: ServerLinks;
	readonly attempts: Pick<OpenAttempts, 'listSilent'>;
	readonly view: Pick<ServerView, 'list' | 'table'>;
	readonly probe: (peer: PeerAddress) => Promise<PortState>;
	readonly clock: Clock;
	readonly loop: Loop;
	readonly random: Random;
};

/** Time between attempts to connect to a pool whose links are cut. */
const PERIOD_MS = 250;
/** Time without any data of a pool with open requests after which its links are tried; longer than servers usually take. */
const SILENT_MS = 500;
/** Time between two trials of a silent pool whose links turned out to be sound. */
const SILENT_PERIOD_MS = 1500;
/** Servers that are tried at once. Two failures show that the links are cut. */
const PROBED_SERVERS = 2;

/** Starts the monitor of a daemon. */
export function startLinkMonitor({
	links, attempts, view, probe, clock, loop, random,
}: LinkMonitorDependencies): Disposable {
	const probing = new Set<string>();
	const triedAt = new Map<string, number>();

	function pick(servers: readonly ServerEntry[], preferred: readonly string[]): readonly ServerEntry[] {
		const shuffled = servers.map(server => ({server, rank: random()})).toSorted((a, b) => a.rank - b.rank).map(({server}) => server);
		const first = shuffled.find(({id}) => preferred.includes(id)) ?? shuffled[0];
		// Another one beside it, as a single server may be down.
		return first === undefined ? [] : [first, ...shuffled.filter(server => server !== first).slice(0, PROBED_SERVERS - 1)];
	}

	async function probePool(pool: string, preferred: readonly string[]): Promise<void> {
		if (probing.has(pool)) {
			return;
		}

		probing.add(pool);
		await Promise.all(pick(view.list(pool), preferred).map(async ({id, address, port}) => {
			const state = await probe({address, peerPort: port});
			if (state === 'open') {
				links.recordConnected(pool, clock.monotonic());
			} else {
				links.recordFailed(pool, id, clock.monotonic());
			}
		}));
		probing.delete(pool);
	}

	// The servers were avoided for failures of the links.
	const subscription = links.onDidChange(({pool, isCut}) => {
		if (!isCut) {
			view.list(pool).forEach(({id}) => {
				view.table.recordSuccess(id);
			});
		}
	});
	const task = loop.every({
		name: 'links to servers',
		periodMs: PERIOD_MS,
		run(now) {
			links.listCut().forEach(pool => {
				void probePool(pool, []);
			});
			attempts.listSilent(SILENT_MS, now)
				.filter(({pool}) => !links.isCut(pool) && now - (triedAt.get(pool) ?? Number.NEGATIVE_INFINITY) >= SILENT_PERIOD_MS)
				.forEach(({pool, serverIds}) => {
					triedAt.set(pool, now);
					void probePool(pool, serverIds);
				});
		},
	});
	return joinDisposables([subscription, task]);
}
