/** Registers the callers' side of a daemon on a hosted platform, and the retirement of VMs that hold no data. */
import {objectApiKey} from '../adapters/common/object-api.js';
import {batchesKey} from '../batches/common/batches.js';
import {deploymentSourceKey} from '../gateway/common/deployment-source.js';
import {gatewayKey} from '../gateway/gateway.contribution.js';
import type {Activation, Context} from '../kernel/common/contribution.js';
import {registerContribution} from '../kernel/common/registry.js';
import {followKind} from '../objects/common/kind-follower.js';
import {hostKey, type HostAddress} from '../settings/common/host.js';
import {callerProtocolKey} from './common/caller-protocol.js';
import {createCallerServer} from './node/caller-server.js';

/** Longest wait of the poll for retirements, and shortest time between polls. */
const RETIREMENTS_WAIT_MS = 10_000;
const RETIREMENTS_GATHER_MS = 500;
/** Time that a stopping daemon goes on to take connections, so that the balancer sees it as not ready first. */
const STOP_READINESS_MS = 2500;
/** Time for requests under way, before batches are handed over. Requests go on meanwhile. */
const STOP_REQUESTS_MS = 1500;

/** Serves callers. */
function startCallers(context: Context, callers: HostAddress): Activation {
	const host = context.use(hostKey);
	const gateway = context.use(gatewayKey);
	let isLeaving = false;
	const server = createCallerServer({
		...context,
		...gateway,
		callers,
		readiness: host.readiness,
		protocol: context.use(callerProtocolKey),
		batches: context.use(batchesKey),
		isReady: () => !isLeaving && gateway.deployment.current() !== undefined && gateway.view.all().length > 0,
	});
	context.onDidStart(async () => server.listen());
	return {
		async drain() {
			isLeaving = true;
			await context.loop.sleep(STOP_READINESS_MS);
			await Promise.race([server.drain(), context.loop.sleep(STOP_REQUESTS_MS)]);
		},
		dispose: server.close,
	};
}

/** Marks the own VM as retired when asked: it holds nothing that must outlive it. */
function startRetirement(context: Context): Activation {
	const host = context.use(hostKey);
	const source = context.use(deploymentSourceKey);
	const api = context.use(objectApiKey);

	async function retire(): Promise<void> {
		const written = await api.replaceStatus({kind: source.retirementKind, name: host.name}, source.retiredStatus);
		context.log.info('retirement asked', {outcome: written.isOk() ? 'done' : written.error.message});
		if (written.isErr()) {
			await context.loop.sleep(RETIREMENTS_GATHER_MS);
			return retire();
		}
	}

	let isAsked = false;
	return followKind({
		kind: source.retirementKind,
		waitMs: RETIREMENTS_WAIT_MS,
		gatherMs: RETIREMENTS_GATHER_MS,
		onObjects(objects) {
			const wasAsked = isAsked;
			isAsked = objects.has(host.name);
			if (isAsked && !wasAsked) {
				void retire();
			}
		},
	}, {...context, api});
}

registerContribution({
	id: 'hosting',
	requires: ['hosted-platform', 'objects', 'gateway', 'batches', 'orders'],
	start(context) {
		const {callers} = context.use(hostKey);
		return callers === undefined ? startRetirement(context) : startCallers(context, callers);
	},
});
