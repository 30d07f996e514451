/** Brings engines to named weight versions while this daemon holds the lease on orders. */
import {Agent} from 'node:http';
import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import {createDisposable} from '../../base/common/disposable.js';
import type {Clock} from '../../base/common/clock.js';
import {exchange} from '../../adapters/node/http-exchange.js';
import type {DeploymentHolder} from '../../gateway/common/deployment.js';
import type {
	EngineReport, OrderOutcome, ServerCall, ServerProtocol,
} from '../../gateway/common/server-protocol.js';
import type {ServerEntry, ServerView} from '../../gateway/common/server-view.js';
import type {Log} from '../../kernel/common/log.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {PeerMesh} from '../../peers/common/peer-mesh.js';
import type {LoadEstimate} from '../../routing/common/load-estimate.js';
import {
	assignEngines, createLagBook, planLoads, type Assignment, type ModelTarget, type PlannedEngine, type PlannedLoad,
} from '../common/load-plan.js';
import type {OrderLease} from './order-lease.js';

/** What the service works with. */
export type OrderParts = {
	readonly protocol: ServerProtocol;
	readonly deployment: DeploymentHolder;
	readonly view: ServerView;
	readonly loads: LoadEstimate;
	readonly mesh: PeerMesh;
	readonly lease: OrderLease;
	readonly clock: Clock;
	readonly loop: Loop;
	readonly log: Log;
};

/** Brings engines to versions. */
export type OrderService = {
	/** Notes the versions that trainers named, by model. */
	readonly name: (targets: ReadonlyMap<string, number>) => void;
	/** Notes that a trainer opened a batch, whose oldest version shows what it accepts. */
	readonly noteBatch: (model: string, oldestVersion: number) => void;
	/** Orders what is due; called when something has changed and from time to time. */
	readonly pump: (now: number) => void;
};

/** Loads take about this long, as the platform states it; the next load may start then. */
const LOAD_MS = 1000;
/** Reports lag behind by some hundred milliseconds; the engine is asked after that. */
const REPORT_LAG_MS = 150;
const POLL_MS = 250;
/** A load that is not done by then is planned anew. */
const LONGEST_LOAD_MS = 6000;
const CALL_TIMEOUT_MS = 1000;
/** Largest report of an engine: 1,000 models of 100 bytes, with room. */
const MAXIMUM_REPORT_BYTES = 256 * 1024;
/** Pause after an engine refused or did not answer. */
const REFUSED_PAUSE_MS = 700;
const VERSIONS_TIMEOUT_MS = 1000;
/** Models that each engine serves: with all of them, any engine can take what a slow or lost one leaves. */
const MODELS_PER_ENGINE = Number.POSITIVE_INFINITY;

function createOnce(action: () => void): () => void {
	const disposable = createDisposable(action);
	return () => {
		disposable.dispose();
	};
}

/** Creates the service. */
export function createOrderService(parts: OrderParts): OrderService {
	const {
		protocol, deployment, view, loads, mesh, lease, clock, loop, log,
	} = parts;
	const agent = new Agent({keepAlive: true});
	/** Engines under orders, and the model that each loads. */
	const loading = new Map<string, string>();
	let active = 0;
	const lags = createLagBook();
	const acceptedOrders = new Map<string, {readonly startedAt: number | undefined; readonly count: number}>();
	let targets: ReadonlyMap<string, number> = new Map();
	let assignment: Assignment = new Map();

	async function callServer(server: ServerEntry, call: ServerCall): Promise<Result<{readonly status: number; readonly body: string}, Failure>> {
		const {result} = await exchange({
			step: 'call engine',
			method: call.method,
			path: call.path,
			headers: call.headers,
			...(call.body !== undefined && {body: call.body}),
			timeoutMs: CALL_TIMEOUT_MS,
			acceptsConnectionEnd: true,
			maximumBytes: MAXIMUM_REPORT_BYTES,
			onHead(status, headers) {
				const head = protocol.readHead(status, headers);
				if (head.isLeaving && !head.isOtherServer) {
					view.noteLeaving({serverId: server.id, startedAt: server.startedAt}, clock.monotonic());
				}

				return undefined;
			},
		}, {base: new URL(`http://${server.address}:${server.port}`), agent});
		return result.map(answer => ({status: answer.status, body: Buffer.from(answer.body).toString('utf8')}));
	}

	function publish(serverId: string, report: EngineReport): void {
		const versions = Object.fromEntries(report.versions);
		report.versions.forEach((version, model) => {
			view.stateVersion(serverId, model, version);
		});
		mesh.others().forEach(peer => {
			void mesh.call(peer, 'engine-versions', {serverId, versions}, VERSIONS_TIMEOUT_MS).then(reply => {
				if (reply.isErr()) {
					log.debug('engine versions not passed on', {serverId, peer: peer.name, reason: reply.error.message});
				}
			});
		});
	}

	mesh.handle('engine-versions', async body => {
		// The body is what `publish` sent from another daemon.
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		const {serverId, versions} = body as {serverId: string; versions: Readonly<Record<string, number>>};
		Object.entries(versions).forEach(([model, version]) => {
			view.stateVersion(serverId, model, version);
		});
		return {status: 200, body: null};
	});

	async function readReport(server: ServerEntry): Promise<Result<EngineReport, Failure>> {
		const answered = await callServer(server, protocol.reportCall());
		return answered.andThen(({status, body}) => {
			const report = status === 200 ? protocol.readReport(body) : undefined;
			if (report === undefined) {
				return err(createNotRun('invalid', {step: 'read engine report', peer: server.id}, `the report of status ${status} can't be read`));
			}

			acceptedOrders.set(server.id, {startedAt: report.startedAt ?? server.startedAt, count: report.acceptedOrders});
			return ok(report);
		});
	}

	async function countOrders(server: ServerEntry): Promise<number | undefined> {
		const known = acceptedOrders.get(server.id);
		if (known !== undefined && known.startedAt === server.startedAt) {
			return known.count;
		}

		const report = await readReport(server);
		return report.isOk() ? report.value.acceptedOrders : undefined;
	}

	async function giveOrder(server: ServerEntry, load: PlannedLoad): Promise<OrderOutcome | undefined> {
		const expectedOrders = await countOrders(server);
		// The lease is looked at again right before the order leaves.
		const fencing = lease.fencing(clock.monotonic());
		if (fencing === undefined || expectedOrders === undefined) {
			return undefined;
		}

		const needsSingle = deployment.current()?.routes.some(route => route.needsSingleVersion && route.pools.some(share => share.pool === server.pool)) ?? false;
		const answered = await callServer(server, protocol.orderCall({
			model: load.model, version: load.version, runs: needsSingle ? 'finishFirst' : 'goOn', holder: mesh.self.name, fencing, expectedOrders,
		}, server.id));
		const outcome = answered.map(({status}) => protocol.readOrderOutcome(status));
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
		if (server === undefined || now - startedAt > LONGEST_LOAD_MS || (view.versionOf(serverId, load.model) ?? 0) >= load.version) {
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

		await loop.sleep(POLL_MS);
		return awaitLoad(serverId, load, startedAt);
	}

	/** Carries out one load; `onLoaded` is called once it takes up the weight store no longer. */
	async function carryOut(load: PlannedLoad, onLoaded: () => void): Promise<void> {
		const server = view.find(load.engineId);
		if (server === undefined) {
			return;
		}

		const startedAt = clock.monotonic();
		const outcome = await giveOrder(server, load);
		if (outcome === 'accepted' || outcome === 'busy') {
			await loop.sleep(LOAD_MS);
			onLoaded();
			pump(clock.monotonic());
			await loop.sleep(REPORT_LAG_MS);
			await awaitLoad(load.engineId, load, startedAt);
			return;
		}

		if (outcome === 'holds') {
			view.stateVersion(load.engineId, load.model, load.version);
			return;
		}

		await loop.sleep(REFUSED_PAUSE_MS);
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
				running: loads.read(entry.id, now).likely,
			}));
	}

	function pump(now: number): void {
		if (lease.fencing(now) === undefined || targets.size === 0) {
			return;
		}

		const pools = deployment.current()?.pools.filter(pool => pool.models.length > 0) ?? [];
		pools.forEach(pool => {
			const engines = listEngines(pool.name, now);
			const wanted = new Map<string, ModelTarget>([...targets]
				.filter(([model]) => pool.models.includes(model))
				.map(([model, version]) => [model, {version, lag: lags.lagOf(model)}]));
			assignment = new Map([...assignment, ...assignEngines(assignment, engines, pool.models, MODELS_PER_ENGINE)]);
			planLoads(engines, assignment, wanted, {loading, active}).forEach(load => {
				loading.set(load.engineId, load.model);
				active += 1;
				const onLoaded = createOnce(() => {
					active -= 1;
				});
				void carryOut(load, onLoaded).catch((error: unknown) => {
					log.error('order failed', {engineId: load.engineId, error: String(error)});
				}).finally(() => {
					onLoaded();
					loading.delete(load.engineId);
					pump(clock.monotonic());
				});
			});
		});
	}

	return {
		name(named) {
			targets = named;
			log.info('versions named', {versions: Object.fromEntries(named)});
			pump(clock.monotonic());
		},
		noteBatch(model, oldestVersion) {
			const newest = targets.get(model);
			if (newest !== undefined) {
				lags.note(model, newest, oldestVersion);
			}
		},
		pump,
	};
}
