/** The engines of a rollout simulation, and a router among them. */
import {ok} from 'neverthrow';
import {createEngineModel, createLengthDistribution, type EngineModel} from '../../../bench/engine-model.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {BackendServer} from '../../routing/common/router.js';
import type {GenerationRunnerOptions} from '../common/generation-runner.js';

/** Number of streams that an engine runs concurrently. */
export const SLOTS = 8;

/** Creates engines that serve version 1. */
export function createRolloutEngines(loop: Loop, count: number): readonly EngineModel[] {
	return Array.from({length: count}, (_, index) => createEngineModel({
		id: `engine-${index}`,
		loop,
		models: ['m'],
		slots: SLOTS,
		tokensPerSecond: 400,
		streamTokensPerSecond: 80,
		prefillTokensPerSecond: 4000,
		loadMs: 1500,
		fencing: 'checked',
		lengthOf: createLengthDistribution(80, 400),
		startVersion: 1,
	}));
}

/** Creates a router that dispatches each stream to the allowed engine with the fewest streams. */
export function createRolloutRouter(engines: readonly EngineModel[]): GenerationRunnerOptions['router'] {
	const inFlight = new Map<string, number>();

	return {
		load: id => ({requests: inFlight.get(id) ?? 0, likelyRequests: inFlight.get(id) ?? 0, slots: SLOTS}),
		engine: server => engines.find(model => model.id === server.id)!.engine,
		dispatch(request) {
			const choice = engines.filter(model => (request.allowed ?? []).includes(model.id) && !request.excluded.includes(model.id))
				.toSorted((a, b) => (inFlight.get(a.id) ?? 0) - (inFlight.get(b.id) ?? 0)).at(0);
			const id = choice?.id ?? 'engine-0';
			const server: BackendServer = {
				id, address: '127.0.0.1', port: 1, pool: 'p', availabilityZone: 'z', region: 'r', state: 'live',
			};
			inFlight.set(id, (inFlight.get(id) ?? 0) + 1);
			return ok({
				server,
				end() {
					inFlight.set(id, (inFlight.get(id) ?? 0) - 1);
				},
			});
		},
	};
}
