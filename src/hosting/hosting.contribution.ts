/** Registers the caller server of a daemon on a hosted platform. A daemon without callers instead confirms the retirement of its VM, because it holds no data. */
import {objectApiKey} from '../adapters/common/object-api.js';
import {batchServiceKey} from '../batches/batches.contribution.js';
import {batchesKey} from '../batches/common/batches.js';
import {deploymentSourceKey} from '../gateway/common/deployment-source.js';
import {gatewayKey} from '../gateway/gateway.contribution.js';
import type {Activation, Context} from '../kernel/common/contribution.js';
import {registerContribution} from '../kernel/common/registry.js';
import {followKind} from '../objects/common/kind-follower.js';
import {
	computeStopLimitMs, connectionTableKey, hostKey, type HostAddress,
} from '../settings/common/host.js';
import {callerProtocolKey} from './common/caller-protocol.js';
import {explainerKey, explainRequest, type ServingPhase} from './common/explanation.js';
import {createCallerServer} from './node/caller-server.js';
import {createExplanationFacts} from './node/explanation-facts.js';
import {startLimitReports} from './node/limit-reports.js';

/** Maximum wait of a long poll for retirements, and minimum time between polls. */
const RETIREMENTS_WAIT_MS = 10_000;
const RETIREMENTS_POLL_INTERVAL_MS = 500;
/** Time for which a stopping daemon continues to accept connections while it reports not ready, so that the load balancer stops sending requests first. */
const NOT_READY_MS = 2500;
/** Maximum time to wait for open requests before batches are handed over. Requests that are still open then continue during the handover. */
const REQUEST_DRAIN_MS = 1500;

/** Starts the caller server. */
function startCallers(context: Context, callers: HostAddress): Activation {
	const host = context.use(hostKey);
	const gateway = context.use(gatewayKey);
	let phase: ServingPhase = 'serving';
	const readPhase = (): ServingPhase => phase;
	const facts = createExplanationFacts({
		...context, ...gateway, daemon: host.name, phase: readPhase, protocol: context.use(callerProtocolKey), batches: context.use(batchServiceKey),
	});
	context.provide(explainerKey, query => explainRequest(query, facts, context.clock.monotonic()));
	const server = createCallerServer({
		...context,
		...gateway,
		callers,
		readiness: host.readiness,
		connections: context.use(connectionTableKey),
		protocol: context.use(callerProtocolKey),
		batches: context.use(batchesKey),
		isReady: () => readPhase() === 'serving' && gateway.deployment.current() !== undefined && gateway.view.all().length > 0,
	});
	const reports = startLimitReports({...context, connections: context.use(connectionTableKey)});
	context.onDidStart(async () => server.listen());
	gateway.addDrain(server.whenIdle);
	return {
		async drain() {
			phase = 'notReady';
			server.startStopping(context.clock.monotonic() + computeStopLimitMs(host.bounds));
			// Other daemons send their attempts elsewhere from now on.
			void gateway.relayHelper.drain();
			await context.loop.sleep(NOT_READY_MS);
			phase = 'draining';
			await Promise.race([server.drain(), context.loop.sleep(REQUEST_DRAIN_MS)]);
			phase = 'refusing';
			server.refuseFurther();
		},
		dispose() {
			reports.dispose();
			server.close();
		},
	};
}

/** Marks this VM as retired when its retirement is requested. Nothing has to be saved first, because the VM holds no data. */
function startRetirement(context: Context): Activation {
	const host = context.use(hostKey);
	const source = context.use(deploymentSourceKey);
	const api = context.use(objectApiKey);

	async function retire(): Promise<void> {
		const written = await api.replaceStatus({kind: source.retirementKind, name: host.name}, source.retiredStatus);
		context.log.info('retirement requested', {outcome: written.isOk() ? 'done' : written.error.message});
		if (written.isErr()) {
			await context.loop.sleep(RETIREMENTS_POLL_INTERVAL_MS);
			return retire();
		}
	}

	let isRequested = false;
	return followKind({
		kind: source.retirementKind,
		waitMs: RETIREMENTS_WAIT_MS,
		minimumPollIntervalMs: RETIREMENTS_POLL_INTERVAL_MS,
		onObjects(objects) {
			const wasRequested = isRequested;
			isRequested = objects.has(host.name);
			if (isRequested && !wasRequested) {
				void retire();
			}
		},
	}, {...context, api});
}

registerContribution({
	id: 'hosting',
	requires: ['hosted-platform', 'objects', 'gateway', 'batches', 'orders', 'duties'],
	start(context) {
		const {callers} = context.use(hostKey);
		return callers === undefined ? startRetirement(context) : startCallers(context, callers);
	},
});
