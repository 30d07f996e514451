/** Registers batches. Any daemon accepts them, one owner runs each, and results are stored before readers see them. */
import PQueue from 'p-queue';
import {objectApiKey} from '../adapters/common/object-api.js';
import {joinDisposables} from '../base/common/disposable.js';
import {gatewayKey} from '../gateway/gateway.contribution.js';
import {serverProtocolKey} from '../gateway/common/server-protocol.js';
import {createServiceKey} from '../kernel/common/contribution.js';
import {registerContribution} from '../kernel/common/registry.js';
import {peerMeshKey} from '../peers/common/peer-mesh.js';
import {hostKey} from '../settings/common/host.js';
import {batchesKey} from './common/batches.js';
import {createRecentRefusals} from './common/recent-refusals.js';
import {createEventIntervals} from './common/event-intervals.js';
import {createOwnerChoice} from './common/owner-choice.js';
import {computeScoringConcurrency} from './common/scoring-concurrency.js';
import {createStartPriorities, startPrioritiesKey} from './common/start-priorities.js';
import {createWorkEstimate} from './common/work-estimate.js';
import {createLoadExchange} from './node/load-exchange.js';
import {BATCH_TICK_MS, createBatchService, type BatchService} from './node/batch-service.js';

/** Key of the daemon's batches with what only this daemon uses. */
export const batchServiceKey = createServiceKey<BatchService>('batch-service');

registerContribution({
	id: 'batches',
	requires: ['hosted-platform', 'objects', 'gateway'],
	start(context) {
		const host = context.use(hostKey);
		if (host.callers === undefined) {
			return {dispose: () => undefined};
		}

		const gateway = context.use(gatewayKey);
		const startPriorities = createStartPriorities();
		const services: BatchService[] = [];
		const exchange = createLoadExchange({
			...context,
			startPriorities,
			loads: gateway.loads,
			view: gateway.view,
			mesh: context.use(peerMeshKey),
			onOpenBatchesReported(owner, open) {
				services.forEach(({recordOpenBatches}) => {
					recordOpenBatches(owner, open);
				});
			},
		});
		const scoring = new PQueue({concurrency: computeScoringConcurrency(0)});
		gateway.view.onDidChange(() => {
			// Scoring runs on servers without weights.
			scoring.concurrency = computeScoringConcurrency(gateway.view.all().filter(entry => entry.versions.size === 0).reduce((sum, entry) => sum + entry.slots, 0));
		});
		const service = createBatchService({
			...context,
			...gateway,
			protocol: context.use(serverProtocolKey),
			api: context.use(objectApiKey),
			mesh: context.use(peerMeshKey),
			startPriorities,
			ownerChoice: createOwnerChoice(),
			workEstimate: createWorkEstimate(),
			eventIntervals: createEventIntervals(),
			refusals: createRecentRefusals(),
			scoring,
			reachesEngines: ({host: routeHost, path}) => gateway.links.reachesRoute(gateway.deployment.findRoute(routeHost, path)?.pools ?? []),
			onTick: exchange.tick,
			onSubmit: exchange.exchangeReports,
			cancelMs: host.bounds.cancelMs,
			retentionMs: 2 * host.bounds.resultRetentionMs,
		});
		services.push(service);
		context.provide(batchesKey, service);
		context.provide(batchServiceKey, service);
		context.provide(startPrioritiesKey, startPriorities);
		gateway.view.onDidChange(() => {
			service.tick(context.clock.monotonic());
		});
		return {
			...joinDisposables([context.loop.every({name: 'batches', periodMs: BATCH_TICK_MS, run: service.tick})]),
			drain: service.handOver,
		};
	},
});
