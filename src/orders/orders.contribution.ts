/** Registers the service that orders engines to load the weight versions that trainers name. */
import {objectApiKey} from '../adapters/common/object-api.js';
import {joinDisposables} from '../base/common/disposable.js';
import {batchesKey} from '../batches/common/batches.js';
import {gatewayKey} from '../gateway/gateway.contribution.js';
import {deploymentSourceKey} from '../gateway/common/deployment-source.js';
import {serverProtocolKey} from '../gateway/common/server-protocol.js';
import {createServiceKey, type Context} from '../kernel/common/contribution.js';
import {registerContribution} from '../kernel/common/registry.js';
import {followKind} from '../objects/common/kind-follower.js';
import {peerMeshKey} from '../peers/common/peer-mesh.js';
import {hostKey} from '../settings/common/host.js';
import {createLeaseTimes} from './common/lease-policy.js';
import {createOrderLease, type OrderLease} from './node/order-lease.js';
import {createOrderService, type OrderService} from './node/order-service.js';

/** Service key of the lease on orders, for further duties that one daemon has. */
export const orderLeaseKey = createServiceKey<Pick<OrderLease, 'fencing' | 'act'>>('order-lease');

/** Maximum wait of one poll for named versions, and minimum time between polls. */
const MAXIMUM_POLL_WAIT_MS = 5000;
const MINIMUM_POLL_INTERVAL_MS = 100;
/** Time between checks for engines that were added, failed or restarted. */
const CHECK_PERIOD_MS = 500;

/** Follows the named versions while this daemon holds the lease on orders. */
function followVersions(context: Context, service: OrderService) {
	const source = context.use(deploymentSourceKey);
	return followKind({
		kind: source.versionKind,
		waitMs: MAXIMUM_POLL_WAIT_MS,
		minimumPollIntervalMs: MINIMUM_POLL_INTERVAL_MS,
		onObjects(objects) {
			const named = [...objects.values()].flatMap(object => {
				const version = source.readVersion(object);
				if (typeof version === 'string') {
					context.log.warn('named version is invalid', {name: object.name, problem: version});
					return [];
				}

				return [[version.model, version.version] as const];
			});
			service.setTargets(new Map(named));
		},
	}, {...context, api: context.use(objectApiKey)});
}

registerContribution({
	id: 'orders',
	requires: ['hosted-platform', 'objects', 'gateway', 'batches'],
	start(context) {
		const host = context.use(hostKey);
		if (host.callers === undefined) {
			return {dispose: () => undefined};
		}

		const gateway = context.use(gatewayKey);
		const dependencies = {
			...context, ...gateway, protocol: context.use(serverProtocolKey), api: context.use(objectApiKey), mesh: context.use(peerMeshKey),
		};
		let following = {dispose: (): void => undefined};
		const lease = createOrderLease({
			...dependencies,
			times: createLeaseTimes(host.bounds.leaseMs),
			reachesEngines: () => !(gateway.deployment.current()?.pools ?? []).some(pool => pool.models.length > 0 && gateway.links.isCut(pool.name)),
			onDidTake() {
				following.dispose();
				following = followVersions(context, service);
			},
			onDidLose() {
				following.dispose();
			},
		});
		context.provide(orderLeaseKey, lease);
		const service = createOrderService({...dependencies, lease});
		return {
			...joinDisposables([
				lease,
				context.use(batchesKey).onDidOpen(({model, oldestVersion}) => {
					service.recordBatch(model, oldestVersion);
				}),
				{
					dispose() {
						following.dispose();
					},
				},
				context.loop.every({name: 'orders', periodMs: CHECK_PERIOD_MS, run: service.orderDueLoads}),
			]),
			drain: lease.release,
		};
	},
});
