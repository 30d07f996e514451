/** Contribution for operating a daemon: the status route, the drain route and the gauges. */
import process from 'node:process';
import {auditKey} from '../audit/common/audit.js';
import {lifecycleKey} from '../kernel/common/lifecycle.js';
import {registerContribution} from '../kernel/common/registry.js';
import {shardsKey} from '../leases/common/shards.js';
import {membershipKey} from '../membership/common/membership.js';
import {peersKey} from '../peers/common/peers.js';
import {configurationKey} from '../plans/common/configuration.js';
import {frontKey, type FrontRequest} from '../requests/common/front.js';
import {sendJson} from '../requests/node/respond.js';
import {routerKey} from '../routing/common/router.js';
import {settingsKey} from '../settings/common/settings.js';
import {engineVersionsKey} from '../weights/common/engine-versions.js';
import {listGauges} from './common/gauges.js';
import {createStatus, type StatusSources} from './common/status.js';

/** Interval between reports of the gauges. */
const GAUGE_INTERVAL_MS = 10_000;

function getActorName({principal}: FrontRequest): string {
	return principal.kind === 'operator' ? principal.name : principal.kind;
}

registerContribution({
	id: 'operations',
	requires: ['requests', 'plans', 'audit', 'leases', 'routing', 'weights', 'peers'],
	start(context) {
		const front = context.use(frontKey);
		const audit = context.use(auditKey);
		const lifecycle = context.use(lifecycleKey);
		const sources: StatusSources = {
			settings: context.use(settingsKey),
			membership: context.use(membershipKey),
			shards: context.use(shardsKey),
			configuration: context.use(configurationKey),
			router: context.use(routerKey),
			findVersions: context.use(engineVersionsKey).find,
			peerTraffic: context.use(peersKey).traffic,
		};
		front.register({
			method: 'GET',
			path: '/v1/status',
			access: 'operator',
			async handle(_request, response, now) {
				sendJson(response, 200, createStatus(sources, now));
			},
		});
		front.register({
			method: 'POST',
			path: '/v1/drain',
			access: 'operator',
			async handle(request, response) {
				audit.record({
					actor: getActorName(request),
					action: 'drain',
					subject: sources.settings.daemon.id,
					fromVersion: undefined,
					toVersion: undefined,
					fencing: undefined,
					detail: 'asked by an operator',
				});
				sendJson(response, 202, {state: 'draining'});
				lifecycle.requestStop('drain route');
			},
		});
		let previousCpuUsage = process.cpuUsage();
		return context.loop.every({
			name: 'report gauges',
			periodMs: GAUGE_INTERVAL_MS,
			run(now) {
				listGauges(createStatus(sources, now)).forEach(({name, value, tags}) => {
					context.metrics.gauge(name, value, tags);
				});
				const {user, system} = process.cpuUsage(previousCpuUsage);
				previousCpuUsage = process.cpuUsage();
				context.metrics.gauge('process.cpu_share', (user + system) / (GAUGE_INTERVAL_MS * 1000));
				context.metrics.gauge('process.memory_bytes', process.memoryUsage().rss);
			},
		});
	},
});
