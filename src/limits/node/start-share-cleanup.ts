/** Releases the shares of holders that certainly no longer run. */
import {joinDisposables, type Disposable} from '../../base/common/disposable.js';
import type {Context} from '../../kernel/common/contribution.js';
import {membershipKey} from '../../membership/common/membership.js';
import {vmDirectoryKey} from '../../membership/common/vm-directory.js';
import type {PeerAddress} from '../../peers/common/peers.js';
import {createStoppedDaemons} from '../common/stopped-daemons.js';
import {probePort} from './port-probe.js';
import type {ShareOwner} from './share-owner.js';

const VM_LIST_INTERVAL_MS = 5000;
const PROBE_INTERVAL_MS = 1000;

/** Starts the periodic cleanup of an owner's holders. */
export function startShareCleanup(context: Context, owner: ShareOwner): Disposable {
	const {
		clock, loop, log, metrics,
	} = context;
	const membership = context.use(membershipKey);
	const directory = context.use(vmDirectoryKey);
	const addresses = new Map<string, PeerAddress>();
	const stoppedDaemons = createStoppedDaemons(daemonId => {
		const known = addresses.get(daemonId);
		return known && `${known.address}:${known.peerPort}`;
	});

	async function readVmList(): Promise<void> {
		const listed = await directory.list.list();
		if (listed.isOk()) {
			stoppedDaemons.updateVms(listed.value, clock.monotonic());
		}
	}

	async function probe(daemonId: string): Promise<void> {
		const known = addresses.get(daemonId);
		if (known) {
			stoppedDaemons.recordProbe(daemonId, await probePort(known), clock.monotonic());
		}
	}

	async function freeStopped(): Promise<void> {
		membership.members().forEach(member => {
			addresses.set(member.id, {address: member.address, peerPort: member.peerPort});
		});
		const silent = owner.silent();
		metrics.gauge('limits.silent_holders', silent.length);
		await Promise.all(silent.map(probe));
		silent.filter(daemonId => stoppedDaemons.isStopped(daemonId, clock.monotonic())).forEach(daemonId => {
			log.info('frees the shares of a daemon that does not run any more', {daemonId});
			owner.removeHolder(daemonId);
		});
	}

	return joinDisposables([
		loop.every({
			name: 'read VM list for shares', periodMs: VM_LIST_INTERVAL_MS, jitterShare: 0.2, run: readVmList,
		}),
		loop.every({
			name: 'release shares of stopped daemons', periodMs: PROBE_INTERVAL_MS, jitterShare: 0.2, run: freeStopped,
		}),
	]);
}
