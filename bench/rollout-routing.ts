/** The choice of engines in the bench of rollouts: the real dispatcher, or one engine after the other. */
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

/** Streams that an engine runs at once. */
export const SLOTS = 16;

/** What runs of steps need of a router. */
export type Routing = Pick<GenerationRunnerOptions['router'], 'dispatch' | 'load'>;

/** Engines in turn, whatever their load. */
export function createRoundRobin(engines: readonly EngineModel[], zones: Deployment['zones']): Routing {
	let last = 0;
	const dispatch: Routing['dispatch'] = request => {
		const allowed = engines.filter(engine => request.allowed?.includes(engine.id));
		last += 1;
		const {id} = allowed[last % Math.max(1, allowed.length)] ?? engines[0]!;
		const place = zones[0]!;
		return ok({
			server: {
				id, address: '127.0.0.1', port: 1, pool: 'p', availabilityZone: place.zone, region: place.region, state: 'live',
			},
			end: () => undefined,
		});
	};

	return {dispatch, load: () => ({requests: 0, likelyRequests: 0, slots: SLOTS})};
}

/** The real dispatcher over load reports that lag. */
export function createRouting(time: VirtualTime, engines: readonly EngineModel[], deployment: Deployment): Routing {
	const table = createServerTable(zone => deployment.zones.find(place => place.zone === zone)?.region);
	table.update(engines.map((engine, index) => ({
		id: engine.id,
		address: '127.0.0.1',
		port: index,
		availabilityZone: deployment.zones[index % deployment.zones.length]!.zone,
		state: 'live',
		pool: 'p',
	})), 0);
	const loads = createLoadEstimate(() => SLOTS);
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
