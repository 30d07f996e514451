/**
 * Decides which engines serve which model, and which engine loads a named weight version next. Each engine serves one
 * model of its pool as long as there are engines enough, so that a version costs as few loads as possible.
 */

/** An engine as the plan sees it. */
export type PlannedEngine = {
	readonly id: string;
	readonly availabilityZone: string;
	readonly versions: ReadonlyMap<string, number>;
	/** Requests that run there, as far as this daemon knows. */
	readonly running: number;
};

/** The models that engines serve, by engine id. */
export type Assignment = ReadonlyMap<string, string>;

/** A load to order. */
export type PlannedLoad = {
	readonly engineId: string;
	readonly model: string;
	readonly version: number;
};

/** Share of a pool's engines that may load at once; a larger one slows each load down. */
const CONCURRENT_SHARE = 0.3;
const FEWEST_CONCURRENT = 2;

/** Engines of a pool that may load at the same time. */
export function countConcurrentLoads(engines: number): number {
	return Math.max(FEWEST_CONCURRENT, Math.floor(engines * CONCURRENT_SHARE));
}

function countAssigned(assignment: Assignment, model: string): number {
	return [...assignment.values()].filter(assigned => assigned === model).length;
}

/** The model whose version an engine holds is furthest ahead: what it served under an earlier holder of the lease. */
function guessModel(engine: PlannedEngine, models: readonly string[]): string | undefined {
	const best = models.map(model => ({model, version: engine.versions.get(model) ?? 1})).toSorted((a, b) => b.version - a.version).at(0);
	return best !== undefined && best.version > 1 ? best.model : undefined;
}

function fewest(assignment: Assignment, models: readonly string[]): string | undefined {
	return models.toSorted((a, b) => countAssigned(assignment, a) - countAssigned(assignment, b)).at(0);
}

/** Assigns engines to models so that their numbers differ by one at most, and as few engines as possible change. */
export function assignEngines(previous: Assignment, engines: readonly PlannedEngine[], models: readonly string[]): Assignment {
	const most = Math.ceil(engines.length / Math.max(1, models.length));
	const assigned = new Map<string, string>();
	const ordered = engines.toSorted((a, b) => (a.id < b.id ? -1 : 1));
	ordered.forEach(engine => {
		const model = previous.get(engine.id) ?? guessModel(engine, models);
		if (model !== undefined && models.includes(model) && countAssigned(assigned, model) < most) {
			assigned.set(engine.id, model);
		}
	});
	ordered.filter(engine => !assigned.has(engine.id)).forEach(engine => {
		const model = fewest(assigned, models);
		if (model !== undefined) {
			assigned.set(engine.id, model);
		}
	});
	return assigned;
}

/** Chooses the loads to order now. `loading` holds the engines under orders. */
export function planLoads(engines: readonly PlannedEngine[], assignment: Assignment, targets: ReadonlyMap<string, number>, loading: ReadonlySet<string>): readonly PlannedLoad[] {
	const room = Math.max(0, countConcurrentLoads(engines.length) - loading.size);
	return engines
		.filter(engine => !loading.has(engine.id))
		.flatMap(engine => {
			const model = assignment.get(engine.id);
			const target = model === undefined ? undefined : targets.get(model);
			const held = model === undefined ? undefined : engine.versions.get(model);
			return model !== undefined && target !== undefined && (held ?? 1) < target
				? [{
					engineId: engine.id, model, version: target, behind: target - (held ?? 1), running: engine.running,
				}]
				: [];
		})
		.toSorted((a, b) => b.behind - a.behind || a.running - b.running)
		.slice(0, room)
		.map(({engineId, model, version}) => ({engineId, model, version}));
}
