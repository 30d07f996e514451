/** Registers the orders that bring engines to the weight versions that trainers name. */
import {objectApiKey} from '../adapters/common/object-api.js';
import {joinDisposables} from '../base/common/disposable.js';
import {batchesKey} from '../batches/common/batches.js';
import {gatewayKey} from '../gateway/gateway.contribution.js';
import {deploymentSourceKey} from '../gateway/common/deployment-source.js';
import {serverProtocolKey} from '../gateway/common/server-protocol.js';
import type {Context} from '../kernel/common/contribution.js';
import {registerContribution} from '../kernel/common/registry.js';
import {followKind} from '../objects/common/kind-follower.js';
import {peerMeshKey} from '../peers/common/peer-mesh.js';
import {hostKey} from '../settings/common/host.js';
import {createLeaseTimes} from './common/lease-policy.js';
import {createOrderLease} from './node/order-lease.js';
import {createOrderService, type OrderService} from './node/order-service.js';

/** Longest wait of the poll for named versions, and shortest time between polls. */
const VERSIONS_WAIT_MS = 5000;
const VERSIONS_GATHER_MS = 100;
/** Engines that came, failed or restarted are looked at this often. */
const PUMP_MS = 500;

/** Follows named versions while this daemon may order. */
function followVersions(context: Context, service: OrderService) {
	const source = context.use(deploymentSourceKey);
	return followKind({
		kind: source.versionKind,
		waitMs: VERSIONS_WAIT_MS,
		gatherMs: VERSIONS_GATHER_MS,
		onObjects(objects) {
			const named = [...objects.values()].flatMap(object => {
				const version = source.readVersion(object);
				if (typeof version === 'string') {
					context.log.warn('named version can not be read', {name: object.name, problem: version});
					return [];
				}

				return [[version.model, version.version] as const];
			});
			service.name(new Map(named));
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
		const parts = {
			...context, ...gateway, protocol: context.use(serverProtocolKey), api: context.use(objectApiKey), mesh: context.use(peerMeshKey),
		};
		let following = {dispose: (): void => undefined};
		const lease = createOrderLease({
			...parts,
			times: createLeaseTimes(host.bounds.leaseMs),
			onDidTake() {
				following.dispose();
				following = followVersions(context, service);
			},
			onDidLose() {
				following.dispose();
			},
		});
		const service = createOrderService({...parts, lease});
		return {
			...joinDisposables([
				lease,
				context.use(batchesKey).onDidOpen(({model, oldestVersion}) => {
					service.noteBatch(model, oldestVersion);
				}),
				{
					dispose() {
						following.dispose();
					},
				},
				context.loop.every({name: 'orders', periodMs: PUMP_MS, run: service.pump}),
			]),
			drain: lease.release,
		};
	},
});
