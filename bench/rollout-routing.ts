/** Routing policies for the rollouts bench: the real dispatcher, and round robin. */
import {ok} from 'neverthrow';
import type {GenerationRunnerOptions} from '../src/rollouts/common/generation-runner.js';
import {createDispatcher} from '../src/routing/common/dispatcher.js';
import {createLoadEstimate} from '../src/routing/common/load-estimate.js';
import {createPrefixIndex} from '../src/routing/common/prefix-index.js';
import {defaultCostWeights} from '../src/routing/common/server-cost.js';
import {createServerTable} from '../src/routing/common/server-table.js';
import {createSeededRandom, type VirtualTime} from '../test/fakes/virtual-loop.js';
import type {EngineModel} from './engine-model.js';
import type {Deployment} from './rollout-deployment.js';

/** Streams that an engine runs concurrently. */
export const SLOTS_PER_ENGINE = 16;

/** The part of the router that step runs use. */
export type Routing = Pick<GenerationRunnerOptions['router'], 'dispatch' | 'load'>;

/** Creates a round robin over the allowed engines that ignores their load. */
export function createRoundRobinRouting(engines: readonly EngineModel[], zones: Deployment['zones']): Routing {
	let requestCount = 0;
	const dispatch: Routing['dispatch'] = request => {
		const allowed = engines.filter(engine => request.allowed?.includes(engine.id));
		requestCount += 1;
		const {id} = allowed[requestCount % Math.max(1, allowed.length)] ?? engines[0]!;
		const location = zones[0]!;
		return ok({
			server: {
				id, address: '127.0.0.1', port: 1, pool: 'p', availabilityZone: location.zone, region: location.region, state: 'live',
			},
			end: () => undefined,
		});
	};

	return {dispatch, load: () => ({requests: 0, likelyRequests: 0, slots: SLOTS_PER_ENGINE})};
}

/** Creates the real dispatcher with load reports that lag by up to their period of 500 ms. */
export function createDispatcherRouting(time: VirtualTime, engines: readonly EngineModel[], deployment: Deployment): Routing {
	const table = createServerTable(zone => deployment.zones.find(location => location.zone === zone)?.region);
	table.update(engines.map((engine, index) => ({
		id: engine.id,
		address: '127.0.0.1',
		port: index,
		availabilityZone: deployment.zones[index % deployment.zones.length]!.zone,
		state: 'live',
		pool: 'p',
	})), 0);
	const loads = createLoadEstimate(() => SLOTS_PER_ENGINE);
	time.loop.every({
		name: 'loads', periodMs: 500, async run(now) {
			await Promise.all(engines.map(async engine => {
				const report = await engine.engine.load();
				report.andTee(value => {
					loads.report(engine.id, value, now);
				});
			}));
		},
	});
	const dispatcher = createDispatcher({
		table,
		loads,
		prefixes: createPrefixIndex(10_000),
		weights: defaultCostWeights,
		ownRegion: deployment.zones[0]!.region,
		random: createSeededRandom(deployment.seed + 1),
		isReservedElsewhere: () => false,
	});
	return {dispatch: dispatcher.dispatch, load: loads.read};
}
