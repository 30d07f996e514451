/** Orders engines to load named weight versions while this daemon holds the lease on orders. */
import {Agent} from 'node:http';
import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import {createDisposable} from '../../base/common/disposable.js';
import type {Clock} from '../../base/common/clock.js';
import {createHttpBase} from '../../adapters/node/http-base.js';
import {exchange} from '../../adapters/node/http-exchange.js';
import type {DeploymentHolder} from '../../gateway/common/deployment.js';
import type {
	EngineReport, OrderOutcome, ServerCall, ServerProtocol,
} from '../../gateway/common/server-protocol.js';
import type {ServerLinks} from '../../gateway/common/server-links.js';
import type {ServerStatements} from '../../gateway/common/server-statements.js';
import type {ServerEntry, ServerView} from '../../gateway/common/server-view.js';
import type {Log} from '../../kernel/common/log.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {ServerPermits} from '../../limits/common/server-permits.js';
import {createDecoder, handleDecoded} from '../../peers/common/decode-call.js';
import type {PeerMesh} from '../../peers/common/peer-mesh.js';
import type {LoadEstimate} from '../../routing/common/load-estimate.js';
import {
	assignEngines, createLagTable, planLoads, type Assignment, type ModelTarget, type PlannedEngine, type PlannedLoad,
} from '../common/load-plan.js';
import type {Permission} from '../common/exclusive-actions.js';
import type {OrderLease} from './order-lease.js';

/** Decodes the weight versions of one engine, by model, as another daemon has read them. */
const decodeVersions = createDecoder<{readonly serverId: string; readonly versions: Readonly<Record<string, number>>}>(z.object({serverId: z.string(), versions: z.record(z.string(), z.number())}));

/** Dependencies of the service. */
export type OrderServiceDependencies = {
	readonly protocol: ServerProtocol;
	readonly deployment: DeploymentHolder;
	readonly view: ServerView;
	readonly loads: LoadEstimate;
	readonly mesh: PeerMesh;
	readonly lease: OrderLease;
	readonly statements: ServerStatements;
	readonly links: Pick<ServerLinks, 'recordConnected' | 'recordFailed'>;
	readonly permits: ServerPermits;
	readonly clock: Clock;
	readonly loop: Loop;
	readonly log: Log;
};

/** The service that orders loads. */
export type OrderService = {
	/** Sets the versions that trainers named, by model. */
	readonly setTargets: (targets: ReadonlyMap<string, number>) => void;
	/** Records that a trainer opened a batch, whose oldest version shows the lag that it accepts. */
	readonly recordBatch: (model: string, oldestVersion: number) => void;
	/** Orders the loads that are due; called periodically, and when something has changed. */
	readonly orderDueLoads: (now: number) => void;
};

/** Duration of a load as the platform states it; after it, the next load may start. */
const EXPECTED_LOAD_MS = 1000;
/** Delay after a load before the engine is asked for a report, because reports lag by some hundred milliseconds. */
const REPORT_DELAY_MS = 150;
const REPORT_POLL_INTERVAL_MS = 250;
/** Time after which an unfinished load is planned again. */
const LOAD_TIMEOUT_MS = 6000;
const CALL_TIMEOUT_MS = 1000;
/** Time limit for connecting to an engine. */
const CONNECT_TIMEOUT_MS = 300;
/** Time for which a call waits for an engine that limits its requests. */
const PERMIT_PATIENCE_MS = 1500;
/** Maximum size of an engine's report: 1,000 models of 100 bytes each, with a margin. */
const MAXIMUM_REPORT_BYTES = 256 * 1024;
/** Delay after an engine refused an order or did not respond. */
const RETRY_DELAY_MS = 700;
const VERSIONS_TIMEOUT_MS = 1000;
/** Models that each engine serves. Engines serve all models, so that any engine can take over the work of a slow or crashed one. */
const MODELS_PER_ENGINE = Number.POSITIVE_INFINITY;

/** Number of orders that an engine had accepted when it was last asked. */
type AcceptedOrders = {
	/** Start of the engine's run, and the term of this daemon, in which it said so. */
	readonly startedAt: number | undefined;
	readonly fencing: number | undefined;
	readonly count: number;
};

function createOnce(action: () => void): () => void {
	const disposable = createDisposable(action);
	return () => {
		disposable.dispose();
	};
}

/** Creates the service. */
export function createOrderService(dependencies: OrderServiceDependencies): OrderService {
	const {
		protocol, deployment, view, loads, mesh, lease, statements, links, permits, clock, loop, log,
	} = dependencies;
	const agent = new Agent({keepAlive: true});
	/** Engines with an unfinished order: the model that each loads, by engine id. */
	const loading = new Map<string, string>();
	let active = 0;
	const lagTable = createLagTable();
	const acceptedOrders = new Map<string, AcceptedOrders>();
	let targets: ReadonlyMap<string, number> = new Map();
	let assignment: Assignment = new Map();

	/** Calls an engine. With a permission the call is sent only while that lasts, and given up when it ends. */
	async function callServer(server: ServerEntry, call: ServerCall, permission?: Permission): Promise<Result<{readonly status: number; readonly body: string}, Failure>> {
		const base = createHttpBase('call engine', {ip: server.address, port: server.port});
		if (base.isErr()) {
			return err(base.error);
		}

		const recordHead = statements.begin(server.id, clock.monotonic());
		const {result} = await exchange({
			step: 'call engine',
			method: call.method,
			path: call.path,
			headers: call.headers,
			...(call.body !== undefined && {body: call.body}),
			timeoutMs: CALL_TIMEOUT_MS,
			...(permission !== undefined && {signal: permission.signal, maySend: permission.isCurrent, resetsWhenGivenUp: true}),
			acceptsConnectionEnd: true,
			maximumBytes: MAXIMUM_REPORT_BYTES,
			connectTimeoutMs: CONNECT_TIMEOUT_MS,
			onDidConnect(isConnected) {
				if (isConnected) {
					links.recordConnected(server.pool, clock.monotonic());
				} else {
					links.recordFailed(server.pool, server.id, clock.monotonic());
				}
			},
			onHead(status, headers) {
				recordHead(protocol.readHead(status, headers), clock.monotonic());
				return undefined;
			},
		}, {base: base.value, agent});
		return result.map(response => ({status: response.status, body: Buffer.from(response.body).toString('utf8')}));
	}

	function publish(serverId: string, report: EngineReport): void {
		const versions = Object.fromEntries(report.versions);
		report.versions.forEach((version, model) => {
			view.recordVersion(serverId, model, version);
		});
		mesh.others().forEach(peer => {
			void mesh.call(peer, 'engine-versions', {serverId, versions}, VERSIONS_TIMEOUT_MS).then(reply => {
				if (reply.isErr()) {
					log.debug('engine versions not delivered to peer', {serverId, peer: peer.name, reason: reply.error.message});
				}
			});
		});
	}

	handleDecoded(mesh, log, 'engine-versions', decodeVersions, async ({serverId, versions}) => {
		Object.entries(versions).forEach(([model, version]) => {
			view.recordVersion(serverId, model, version);
		});
		return {status: 200, body: null};
	});

	/** Waits until a server takes another request; fails when its request limit does not allow one soon. */
	async function awaitPermit(server: ServerEntry): Promise<Result<void, Failure>> {
		const permit = await permits.obtain(server.id, {urgency: 'caller', waitedMs: 0, patienceMs: PERMIT_PATIENCE_MS});
		return permit.isGranted ? ok(undefined) : err(createNotRun('overloaded', {step: 'obtain permit', peer: server.id}, 'the engine has reached its request limit', permit.waitMs));
	}

	async function readReport(server: ServerEntry): Promise<Result<EngineReport, Failure>> {
		const permit = await awaitPermit(server);
		const response = permit.isErr() ? err(permit.error) : await callServer(server, protocol.buildReportCall());
		return response.andThen(({status, body}) => {
			const report = status === 200 ? protocol.readReport(body) : undefined;
			if (report === undefined) {
				return err(createNotRun('invalid', {step: 'read engine report', peer: server.id}, `the report with status ${status} is invalid`));
			}

			acceptedOrders.set(server.id, {startedAt: report.startedAt ?? server.startedAt, fencing: lease.fencing(clock.monotonic()), count: report.acceptedOrders});
			return ok(report);
		});
	}

	/**
	 * Returns how many orders an engine has accepted. Each term asks each engine before its first order: an engine that answers has also read what
	 * earlier holders had sent it, so that no earlier order is read after one of this term.
	 */
	async function countOrders(server: ServerEntry): Promise<number | undefined> {
		const known = acceptedOrders.get(server.id);
		if (known !== undefined && known.startedAt === server.startedAt && known.fencing === lease.fencing(clock.monotonic())) {
			return known.count;
		}

		const report = await readReport(server);
		return report.isOk() ? report.value.acceptedOrders : undefined;
	}

	async function giveOrder(server: ServerEntry, load: PlannedLoad): Promise<OrderOutcome | undefined> {
		const expectedOrders = await countOrders(server);
		const permit = await awaitPermit(server);
		if (expectedOrders === undefined || permit.isErr()) {
			return undefined;
		}

		const needsSingle = deployment.current()?.routes.some(route => route.needsSingleVersion && route.pools.some(share => share.pool === server.pool)) ?? false;
		let fencing: number | undefined;
		const response = await lease.act(async permission => {
			fencing = permission.fencing;
			return callServer(server, protocol.buildOrderCall({
				model: load.model, version: load.version, runs: needsSingle ? 'finishFirst' : 'goOn', holder: mesh.self.name, fencing, expectedOrders,
			}, server.id), permission);
		});
		if (response === undefined) {
			return undefined;
		}

		const outcome = response.map(({status}) => protocol.readOrderOutcome(status));
		log.info('order given', {
			serverId: server.id, model: load.model, version: load.version, fencing, expectedOrders, ...outcome.match(value => ({outcome: value}), failure => ({outcome: 'no answer', reason: failure.message})),
		});
		const known = acceptedOrders.get(server.id);
		if (outcome.isOk() && outcome.value === 'accepted' && known !== undefined) {
			acceptedOrders.set(server.id, {...known, count: known.count + 1});
		} else {
			acceptedOrders.delete(server.id);
		}

		return outcome.unwrapOr(undefined);
	}

	async function awaitLoad(serverId: string, load: PlannedLoad, startedAt: number): Promise<void> {
		const server = view.find(serverId);
		const now = clock.monotonic();
		if (server === undefined || now - startedAt > LOAD_TIMEOUT_MS || (view.versionOf(serverId, load.model) ?? 0) >= load.version) {
			return;
		}

		const report = await readReport(server);
		if (report.isOk() && !report.value.isBusy) {
			publish(serverId, report.value);
			log.info('engine serves version', {
				serverId, model: load.model, version: report.value.versions.get(load.model), tookMs: Math.round(now - startedAt),
			});
			return;
		}

		await loop.sleep(REPORT_POLL_INTERVAL_MS);
		return awaitLoad(serverId, load, startedAt);
	}

	/** Orders one load and waits until it is finished; calls `onLoaded` once the engine no longer reads from the weight store. */
	async function carryOut(load: PlannedLoad, onLoaded: () => void): Promise<void> {
		const server = view.find(load.engineId);
		if (server === undefined) {
			return;
		}

		const startedAt = clock.monotonic();
		const outcome = await giveOrder(server, load);
		if (outcome === 'accepted' || outcome === 'busy') {
			await loop.sleep(EXPECTED_LOAD_MS);
			onLoaded();
			orderDueLoads(clock.monotonic());
			await loop.sleep(REPORT_DELAY_MS);
			await awaitLoad(load.engineId, load, startedAt);
			return;
		}

		if (outcome === 'holds') {
			view.recordVersion(load.engineId, load.model, load.version);
			return;
		}

		await loop.sleep(RETRY_DELAY_MS);
	}

	function listEngines(pool: string, now: number): readonly PlannedEngine[] {
		return view.list(pool)
			.filter(entry => !entry.isLeaving)
			.map(entry => ({
				id: entry.id,
				versions: new Map([...new Set([...entry.versions.keys(), ...targets.keys()])].flatMap(model => {
					const version = view.versionOf(entry.id, model);
					return version === undefined ? [] : [[model, version] as const];
				})),
				running: loads.read(entry.id, now).likelyRequests,
			}));
	}

	function orderDueLoads(now: number): void {
		if (lease.fencing(now) === undefined || targets.size === 0) {
			return;
		}

		const pools = deployment.current()?.pools.filter(pool => pool.models.length > 0) ?? [];
		pools.forEach(pool => {
			const engines = listEngines(pool.name, now);
			const wanted = new Map<string, ModelTarget>([...targets]
				.filter(([model]) => pool.models.includes(model))
				.map(([model, version]) => [model, {version, lag: lagTable.lagOf(model)}]));
			assignment = new Map([...assignment, ...assignEngines(assignment, engines, pool.models, MODELS_PER_ENGINE)]);
			planLoads(engines, assignment, wanted, {loading, active}).forEach(load => {
				loading.set(load.engineId, load.model);
				active += 1;
				const onLoaded = createOnce(() => {
					active -= 1;
				});
				void carryOut(load, onLoaded).catch((error: unknown) => {
					log.error('order failed unexpectedly', {engineId: load.engineId, error: String(error)});
				}).finally(() => {
					onLoaded();
					loading.delete(load.engineId);
					orderDueLoads(clock.monotonic());
				});
			});
		});
	}

	return {
		setTargets(named) {
			targets = named;
			log.info('versions named', {versions: Object.fromEntries(named)});
			orderDueLoads(clock.monotonic());
		},
		recordBatch(model, oldestVersion) {
			const newest = targets.get(model);
			if (newest !== undefined) {
				lagTable.recordBatch(model, newest, oldestVersion);
			}
		},
		orderDueLoads,
	};
}
