/** Starts the guard against requests that crash backend servers on a daemon. */
import {joinDisposables, type Disposable} from '../../base/common/disposable.js';
import type {Context} from '../../kernel/common/contribution.js';
import {shardsKey} from '../../leases/common/shards.js';
import {membershipKey} from '../../membership/common/membership.js';
import {peersKey} from '../../peers/common/peers.js';
import {storeKey, type WriteId} from '../../adapters/common/store.js';
import {reservationsKey} from '../../routing/common/reservations.js';
import {routerKey} from '../../routing/common/router.js';
import {settingsKey} from '../../settings/common/settings.js';
import {createSuspectTable} from '../common/suspect-table.js';
import type {SuspectGuard} from '../common/suspect-guard.js';
import {createConnectSuspectTransport} from './connect-suspect-transport.js';
import {createSuspectGuard} from './suspect-guard.js';
import {createSuspectOwner} from './suspect-owner.js';

const FLUSH_INTERVAL_MS = 2000;
const READ_ALL_INTERVAL_MS = 60_000;

/** Starts the guard. `nextWriteId` is the daemon's generator of write ids. */
export async function startSuspects(context: Context, nextWriteId: () => WriteId): Promise<{readonly guard: SuspectGuard; readonly disposable: Disposable}> {
	const {clock, loop} = context;
	const shards = context.use(shardsKey);
	const router = context.use(routerKey);
	const {pools} = context.use(settingsKey);
	const table = createSuspectTable();
	const owner = createSuspectOwner({
		shardCount: shards.count, store: context.use(storeKey), table, clock, nextWriteId,
	});
	const transport = createConnectSuspectTransport({
		peers: context.use(peersKey), membership: context.use(membershipKey), shards, owner, table, clock, loop, reservations: context.use(reservationsKey),
	});
	const guard = createSuspectGuard({
		clock,
		loop,
		table,
		transport,
		probe: async server => pools.some(pool => pool.name === server.pool && pool.kind === 'engine')
			? router.engine(server).load()
			: router.service(server).load(),
		nextCrashId() {
			const {writer, sequence} = nextWriteId();
			return `${writer}:${sequence}`;
		},
	});
	// A daemon that starts while the store is unavailable learns of suspects only by gossip until the store has recovered.
	await owner.readAll();
	const disposable = joinDisposables([
		transport,
		loop.every({
			name: 'keep suspects', periodMs: FLUSH_INTERVAL_MS, jitterShare: 0.2, run: owner.flush,
		}),
		loop.every({
			name: 'read suspects', periodMs: READ_ALL_INTERVAL_MS, jitterShare: 0.5, run: owner.readAll,
		}),
	]);
	return {guard, disposable};
}
