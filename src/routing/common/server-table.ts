/**
 * The backend servers that a daemon knows, from the VM list and from the servers' own responses. The list can be outdated, so a
 * server that was listed as leaving, or announced it itself, stays excluded even if an older list shows it as live again.
 */
import type {Vm} from '../../adapters/common/vm-list.js';
import type {BackendServer} from './router.js';

/** The known servers. */
export type ServerTable = {
	/** Replaces the table with a complete VM list; returns the servers that changed, including removed ones with the state `leaving`. */
	readonly update: (vms: readonly Vm[], now: number) => readonly BackendServer[];
	readonly list: (pool: string) => readonly BackendServer[];
	readonly find: (serverId: string) => BackendServer | undefined;
	readonly has: (serverId: string) => boolean;
	/** Records that a server refused a request because it is leaving or full. */
	readonly recordRefusal: (serverId: string, now: number) => void;
	/** Records that a server broke off a request, for example because it crashed. */
	readonly recordFailure: (serverId: string, now: number) => void;
	/** Records that a server completed a request. */
	readonly recordSuccess: (serverId: string) => void;
	/** Whether new requests may be sent to the server. */
	readonly isUsable: (serverId: string, now: number) => boolean;
};

type Avoidance = {
	readonly until: number;
	readonly times: number;
};

/** A server that was listed as leaving is not used again until it has been listed as live for this long. */
const LEAVING_HOLD_MS = 30_000;
/** Time for which a server is avoided after its first refusal or failure; it doubles with each further one, up to the maximum. */
const REFUSAL_AVOID_MS = 5000;
const FAILURE_AVOID_MS = 1000;
const MAXIMUM_REFUSAL_AVOID_MS = 60_000;
/** A server whose requests broke off is listed as live, so it has probably started again; it is tried at least this often. */
const MAXIMUM_FAILURE_AVOID_MS = 4000;

function isSame(a: BackendServer | undefined, b: BackendServer): boolean {
	return a?.address === b.address && a.port === b.port && a.state === b.state && a.pool === b.pool;
}

/** Creates an empty table. `regionOf` maps availability zones to regions. */
export function createServerTable(regionOf: (zone: string) => string | undefined): ServerTable {
	let servers: ReadonlyMap<string, BackendServer> = new Map();
	const leavingSeenByServer = new Map<string, {readonly at: number; readonly startedAt: number | undefined}>();
	const avoidanceByServer = new Map<string, Avoidance>();
	const startedAtByServer = new Map<string, number>();

	function createServer(vm: Vm, now: number): BackendServer {
		if (vm.state === 'leaving') {
			leavingSeenByServer.set(vm.id, {at: now, startedAt: vm.startedAt});
		}

		const seen = leavingSeenByServer.get(vm.id);
		const isHeld = seen !== undefined && seen.startedAt === vm.startedAt && now - seen.at < LEAVING_HOLD_MS;
		return {
			id: vm.id,
			address: vm.address,
			port: vm.port,
			pool: vm.pool,
			availabilityZone: vm.availabilityZone,
			region: regionOf(vm.availabilityZone) ?? vm.availabilityZone,
			state: isHeld ? 'leaving' : 'live',
		};
	}

	function avoid(serverId: string, durations: {readonly baseMs: number; readonly maximumMs: number}, now: number): void {
		const known = avoidanceByServer.get(serverId);
		// All requests that one crash broke off report it at the same time, so they count as one failure.
		if (known !== undefined && now < known.until) {
			return;
		}

		const times = (known?.times ?? 0) + 1;
		const until = now + Math.min(durations.maximumMs, durations.baseMs * (2 ** (times - 1)));
		avoidanceByServer.set(serverId, {until, times});
	}

	/** A server that has started again is not avoided for what happened to its earlier run. */
	function forgetEarlierRuns(vms: readonly Vm[]): void {
		vms.forEach(({id, startedAt}) => {
			const known = startedAtByServer.get(id);
			if (startedAt !== undefined && known !== undefined && startedAt > known) {
				avoidanceByServer.delete(id);
			}

			if (startedAt !== undefined) {
				startedAtByServer.set(id, startedAt);
			}
		});
	}

	function forgetVanished(vanished: readonly BackendServer[]): void {
		vanished.forEach(server => {
			avoidanceByServer.delete(server.id);
			leavingSeenByServer.delete(server.id);
			startedAtByServer.delete(server.id);
		});
	}

	return {
		update(vms, now) {
			const next = new Map(vms.filter(vm => vm.pool !== 'entry').map(vm => [vm.id, createServer(vm, now)]));
			const changed = [...next.values()].filter(server => !isSame(servers.get(server.id), server));
			const vanished = [...servers.values()].filter(server => !next.has(server.id));
			servers = next;
			forgetVanished(vanished);
			forgetEarlierRuns(vms);
			return [...changed, ...vanished.map(server => ({...server, state: 'leaving' as const}))];
		},
		list: pool => [...servers.values()].filter(server => server.pool === pool),
		find: serverId => servers.get(serverId),
		has: serverId => servers.has(serverId),
		recordRefusal(serverId, now) {
			avoid(serverId, {baseMs: REFUSAL_AVOID_MS, maximumMs: MAXIMUM_REFUSAL_AVOID_MS}, now);
		},
		recordFailure(serverId, now) {
			avoid(serverId, {baseMs: FAILURE_AVOID_MS, maximumMs: MAXIMUM_FAILURE_AVOID_MS}, now);
		},
		recordSuccess(serverId) {
			avoidanceByServer.delete(serverId);
		},
		isUsable: (serverId, now) => servers.get(serverId)?.state === 'live' && now >= (avoidanceByServer.get(serverId)?.until ?? 0),
	};
}
