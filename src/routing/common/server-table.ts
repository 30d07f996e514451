/**
 * The backend servers that a daemon knows, from the VM list and from what the servers themselves answered. The list lags:
 * a server that was shown as leaving, or said so itself, stays excluded even if an older list shows it as live again.
 */
import type {Vm} from '../../adapters/common/vm-list.js';
import type {BackendServer} from './router.js';

/** The known servers. */
export type ServerTable = {
	/** Takes a whole VM list; returns the servers that changed, those that vanished included as leaving. */
	readonly update: (vms: readonly Vm[], now: number) => readonly BackendServer[];
	readonly list: (pool: string) => readonly BackendServer[];
	readonly find: (serverId: string) => BackendServer | undefined;
	readonly knows: (serverId: string) => boolean;
	/** Notes that a server refused work because it is leaving or full. */
	readonly refused: (serverId: string, now: number) => void;
	/** Notes that a server broke off. */
	readonly died: (serverId: string, now: number) => void;
	/** Notes that a server completed a request. */
	readonly succeeded: (serverId: string) => void;
	/** Whether new work may be sent. */
	readonly usable: (serverId: string, now: number) => boolean;
};

type Avoidance = {
	readonly until: number;
	readonly times: number;
};

/** A server seen as leaving is not used again before it has been shown as live for this long. */
const LEAVING_HOLD_MS = 30_000;
const REFUSAL_AVOID_MS = 5000;
const DEATH_AVOID_MS = 1000;
const LONGEST_AVOID_MS = 60_000;

function isSame(a: BackendServer | undefined, b: BackendServer): boolean {
	return a?.address === b.address && a.port === b.port && a.state === b.state && a.pool === b.pool;
}

/** Creates an empty table. `regionOf` maps availability zones to regions. */
export function createServerTable(regionOf: (zone: string) => string | undefined): ServerTable {
	let servers: ReadonlyMap<string, BackendServer> = new Map();
	const leavingSeen = new Map<string, {readonly at: number; readonly startedAt: number | undefined}>();
	const avoided = new Map<string, Avoidance>();

	function createServer(vm: Vm, now: number): BackendServer {
		if (vm.state === 'leaving') {
			leavingSeen.set(vm.id, {at: now, startedAt: vm.startedAt});
		}

		const seen = leavingSeen.get(vm.id);
		const held = seen !== undefined && seen.startedAt === vm.startedAt && now - seen.at < LEAVING_HOLD_MS;
		return {
			id: vm.id,
			address: vm.address,
			port: vm.port,
			pool: vm.pool,
			availabilityZone: vm.availabilityZone,
			region: regionOf(vm.availabilityZone) ?? vm.availabilityZone,
			state: held ? 'leaving' : 'live',
		};
	}

	function avoid(serverId: string, baseMs: number, now: number): void {
		const known = avoided.get(serverId);
		// All requests that one crash broke off report it at the same time; they count as one.
		if (known !== undefined && now < known.until) {
			return;
		}

		const times = (known?.times ?? 0) + 1;
		const until = now + Math.min(LONGEST_AVOID_MS, baseMs * (2 ** (times - 1)));
		avoided.set(serverId, {until, times});
	}

	function forgetVanished(vanished: readonly BackendServer[]): void {
		vanished.forEach(server => {
			avoided.delete(server.id);
			leavingSeen.delete(server.id);
		});
	}

	return {
		update(vms, now) {
			const next = new Map(vms.filter(vm => vm.pool !== 'entry').map(vm => [vm.id, createServer(vm, now)]));
			const changed = [...next.values()].filter(server => !isSame(servers.get(server.id), server));
			const vanished = [...servers.values()].filter(server => !next.has(server.id));
			servers = next;
			forgetVanished(vanished);
			return [...changed, ...vanished.map(server => ({...server, state: 'leaving' as const}))];
		},
		list: pool => [...servers.values()].filter(server => server.pool === pool),
		find: serverId => servers.get(serverId),
		knows: serverId => servers.has(serverId),
		refused(serverId, now) {
			avoid(serverId, REFUSAL_AVOID_MS, now);
		},
		died(serverId, now) {
			avoid(serverId, DEATH_AVOID_MS, now);
		},
		succeeded(serverId) {
			avoided.delete(serverId);
		},
		usable: (serverId, now) => servers.get(serverId)?.state === 'live' && now >= (avoided.get(serverId)?.until ?? 0),
	};
}
