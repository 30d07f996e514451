/** Registers the router: maintains the table of backend servers, polls their loads, and chooses among them. */
import type {Result} from 'neverthrow';
import {createEmitter} from '../base/common/event.js';
import {joinDisposables} from '../base/common/disposable.js';
import type {Failure} from '../base/common/failure.js';
import type {Context, Contribution} from '../kernel/common/contribution.js';
import {createFailureLog} from '../kernel/common/failure-log.js';
import {registerContribution} from '../kernel/common/registry.js';
import {capacityKey} from '../limits/common/capacity.js';
import {membershipKey} from '../membership/common/membership.js';
import {vmDirectoryKey} from '../membership/common/vm-directory.js';
import {adaptersKey} from '../adapters/common/adapters.js';
import type {LoadReport} from '../adapters/common/engine.js';
import {regionOf, settingsKey, type Pool} from '../settings/common/settings.js';
import {createDispatcher} from './common/dispatcher.js';
import {createLoadEstimate} from './common/load-estimate.js';
import {createPrefixIndex} from './common/prefix-index.js';
import {createReservations, reservationsKey} from './common/reservations.js';
import {routerKey, type BackendServer, type Router} from './common/router.js';
import {defaultCostWeights} from './common/server-cost.js';
import {createServerTable} from './common/server-table.js';
import {createLoadPolls} from './common/load-polls.js';
import {createAdapterCache} from './node/adapter-cache.js';

const PREFIX_CAPACITY = 20_000;
const LOAD_POLL_MS = 500;
/** Load reports to read per poll, independent of the size of the fleet: two per dispatch, because a choice compares at least two servers. */
const LOADS_PER_POLL = {least: 2, most: 8, perDispatch: 2};
const RESERVATION_POLL_MS = 1000;

function slotsOf(pools: readonly Pool[], server: BackendServer | undefined): number {
	return pools.find(pool => pool.name === server?.pool)?.slots ?? 1;
}

async function start(context: Context) {
	const settings = context.use(settingsKey);
	const directory = context.use(vmDirectoryKey);
	const membership = context.use(membershipKey);
	const capacity = context.use(capacityKey);
	const adapters = createAdapterCache(context.use(adaptersKey), settings.pools);
	const table = createServerTable(zone => regionOf(settings, zone));
	const loads = createLoadEstimate(serverId => slotsOf(settings.pools, table.find(serverId)));
	const reservations = createReservations(membership, () => context.clock.monotonic());
	const changes = createEmitter<readonly BackendServer[]>();
	const vmListLog = createFailureLog(context.log, 'VM list');
	const polls = createLoadPolls(LOADS_PER_POLL);
	const dispatcher = createDispatcher({
		table,
		loads,
		prefixes: createPrefixIndex(PREFIX_CAPACITY),
		weights: defaultCostWeights,
		ownRegion: regionOf(settings, settings.daemon.availabilityZone) ?? settings.daemon.availabilityZone,
		random: context.random,
		isReservedElsewhere: reservations.isReservedElsewhere,
	});

	function reportCapacity(): void {
		const now = context.clock.monotonic();
		settings.pools.forEach(pool => {
			const usable = table.list(pool.name).filter(server => table.isUsable(server.id, now));
			capacity.report(pool.name, usable.map(server => loads.read(server.id, now)));
		});
	}

	async function pollVmList(): Promise<void> {
		const listed = await directory.list.list();
		const now = context.clock.monotonic();
		if (listed.isErr()) {
			vmListLog.fail(listed.error, now);
			return;
		}

		vmListLog.succeed(now);
		const changed = table.update(listed.value, now);
		changed.filter(server => !table.has(server.id)).forEach(server => {
			loads.forget(server.id);
			adapters.forget(server);
		});
		reportCapacity();
		if (changed.length > 0) {
			changes.fire(changed);
		}
	}

	async function readLoad(server: BackendServer): Promise<Result<LoadReport, Failure>> {
		return adapters.isEngine(server) ? adapters.engine(server).load() : adapters.service(server).load();
	}

	async function pollLoads(): Promise<void> {
		const live = settings.pools.flatMap(pool => table.list(pool.name)).filter(server => server.state === 'live');
		await Promise.all(polls.next(live, server => loads.inFlight(server.id)).map(async server => {
			const report = await readLoad(server);
			if (report.isOk()) {
				loads.report(server.id, report.value, context.clock.monotonic());
			}
		}));
		reportCapacity();
	}

	const router: Router = {
		dispatch(request, now) {
			const dispatched = dispatcher.dispatch(request, now);
			polls.recordDispatch();
			if (request.alone && dispatched.isOk()) {
				reservations.announce(dispatcher.listReserved());
			}

			context.metrics.gauge('routing.cross_region_bytes', dispatcher.crossRegionBytes());
			return dispatched;
		},
		servers: table.list,
		engine: adapters.engine,
		service: adapters.service,
		onDidChangeServers: changes.event,
		inFlight: loads.inFlight,
		load: loads.read,
	};
	await pollVmList();
	context.provide(reservationsKey, reservations);
	context.provide(routerKey, router);

	return joinDisposables([
		directory.onDidAnnounceChange(() => {
			void pollVmList();
		}),
		context.loop.every({
			name: 'poll VM list', periodMs: settings.vmList.pollMs, jitterShare: 0.1, run: pollVmList,
		}),
		context.loop.every({
			name: 'poll loads', periodMs: LOAD_POLL_MS, jitterShare: 0.2, run: pollLoads,
		}),
		context.loop.every({
			name: 'announce reservations',
			periodMs: RESERVATION_POLL_MS,
			run() {
				reservations.announce(dispatcher.listReserved());
			},
		}),
	]);
}

const contribution: Contribution = {id: 'routing', requires: ['limits', 'membership', 'vm-directory'], start};

registerContribution(contribution);
