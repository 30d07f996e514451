/**
 * Decides which engines serve which models, and which engine loads a named weight version next. When trainers accept
 * versions behind the newest, engines can skip versions: only some of a model's engines load each version, alternating.
 */

/** An engine, as far as the plan depends on it. */
export type PlannedEngine = {
	readonly id: string;
	readonly versions: ReadonlyMap<string, number>;
	/** Requests that run on the engine, as far as this daemon knows. */
	readonly running: number;
};

/** The models that engines serve, by engine id. */
export type Assignment = ReadonlyMap<string, readonly string[]>;

/** The versions of a model that trainers need. */
export type ModelTarget = {
	/** The newest named version. */
	readonly version: number;
	/** Number of versions behind the newest that may still generate samples. */
	readonly lag: number;
};

/** A load to order. */
export type PlannedLoad = {
	readonly engineId: string;
	readonly model: string;
	readonly version: number;
};

/** Share of a pool's engines that may load concurrently; more concurrent loads slow each load down. */
const CONCURRENT_LOADS_SHARE = 0.3;
const MINIMUM_CONCURRENT_LOADS = 2;
/** The version that engines start with. */
const FIRST_VERSION = 1;

/** Returns the number of engines of a pool that may load concurrently. */
export function countConcurrentLoads(engines: number): number {
	return Math.max(MINIMUM_CONCURRENT_LOADS, Math.floor(engines * CONCURRENT_LOADS_SHARE));
}

function countAssigned(assignment: Assignment, model: string): number {
	return [...assignment.values()].filter(models => models.includes(model)).length;
}

function heldVersion(engine: PlannedEngine, model: string): number {
	return engine.versions.get(model) ?? FIRST_VERSION;
}

/** Orders the models by the priority with which an engine should serve them: those it served before, then those with the fewest engines. */
function rankModels(engine: PlannedEngine, models: readonly string[], before: readonly string[], assigned: Assignment): readonly string[] {
	return models.toSorted((a, b) => {
		const kept = Number(before.includes(b)) - Number(before.includes(a));
		const spread = countAssigned(assigned, a) - countAssigned(assigned, b);
		return kept || spread || heldVersion(engine, b) - heldVersion(engine, a);
	});
}

/**
 * Assigns up to `modelsPerEngine` models to each engine, so that all models have about the same number of engines and few
 * engines change their models.
 */
export function assignEngines(previous: Assignment, engines: readonly PlannedEngine[], models: readonly string[], modelsPerEngine: number): Assignment {
	const modelsEach = Math.min(modelsPerEngine, models.length);
	const maximumEngines = Math.ceil(engines.length * modelsEach / Math.max(1, models.length));
	const assigned = new Map<string, readonly string[]>();
	engines.toSorted((a, b) => (a.id < b.id ? -1 : 1)).forEach(engine => {
		const before = previous.get(engine.id) ?? models.filter(model => heldVersion(engine, model) > FIRST_VERSION);
		const open = models.filter(model => countAssigned(assigned, model) < maximumEngines);
		assigned.set(engine.id, rankModels(engine, open, before, assigned).slice(0, modelsEach));
	});
	return assigned;
}

/** Loads that were ordered and are not finished. */
export type LoadsInProgress = {
	/** Engines whose new version is not confirmed yet: the model that each loads, by engine id. */
	readonly loading: ReadonlyMap<string, string>;
	/** Number of loads that still read from the weight store. */
	readonly active: number;
};

type Candidate = PlannedLoad & {
	/** Number of engines that serve the model within the accepted lag, or are loading it. */
	readonly inService: number;
	readonly versionsBehind: number;
	readonly running: number;
};

/** Lists the loads of one model that are due: those of engines behind the accepted lag, and those of further engines until one in `lag + 1` has the newest version. */
function listDue(model: string, target: ModelTarget, engines: readonly PlannedEngine[], loading: ReadonlyMap<string, string>): readonly Candidate[] {
	const loadsPerVersion = Math.ceil(engines.length / (target.lag + 1));
	const isLoading = (engine: PlannedEngine): boolean => loading.get(engine.id) === model;
	const current = engines.filter(engine => isLoading(engine) || heldVersion(engine, model) >= target.version).length;
	const inService = engines.filter(engine => isLoading(engine) || heldVersion(engine, model) >= target.version - target.lag).length;
	return engines
		.filter(engine => !isLoading(engine) && heldVersion(engine, model) < target.version)
		.map(engine => ({
			engineId: engine.id, model, version: target.version, inService, versionsBehind: target.version - heldVersion(engine, model), running: engine.running,
		}))
		.toSorted((a, b) => b.versionsBehind - a.versionsBehind || a.running - b.running)
		.filter((candidate, index) => candidate.versionsBehind > target.lag || index < loadsPerVersion - current);
}

/**
 * Chooses the loads to order now, the model with the fewest engines in service first. `loading` contains the engines with an
 * unfinished order and the model that each loads; `active` is the number of these that still load, as far as is known.
 */
export function planLoads(engines: readonly PlannedEngine[], assignment: Assignment, targets: ReadonlyMap<string, ModelTarget>, {loading, active}: LoadsInProgress): readonly PlannedLoad[] {
	const availableLoads = countConcurrentLoads(engines.length) - active;
	const due = [...targets].flatMap(([model, target]) => {
		const own = engines.filter(engine => assignment.get(engine.id)?.includes(model) === true);
		// Each load of the list adds an engine in service for the loads after it.
		return listDue(model, target, own, loading).map((load, index) => ({...load, inService: load.inService + index}));
	}).toSorted((a, b) => a.inService - b.inService || b.versionsBehind - a.versionsBehind || a.running - b.running);
	const open = due.filter(load => !loading.has(load.engineId));
	const first = open.filter((load, index) => open.findIndex(other => other.engineId === load.engineId) === index);
	return first.slice(0, Math.max(0, availableLoads)).map(({engineId, model, version}) => ({engineId, model, version}));
}

/** Number of recent batches of a model that determine its lag. */
const LAG_SAMPLES = 3;
/** Lag of a model without recorded batches. */
const INITIAL_LAG = 1;
const MAXIMUM_LAG = 4;

/** The lag that the trainers of each model accept, derived from the oldest versions that their batches accept. */
export type LagTable = {
	readonly recordBatch: (model: string, newest: number, oldestVersion: number) => void;
	readonly lagOf: (model: string) => number;
};

/** Creates a table without recorded batches. */
export function createLagTable(): LagTable {
	const samples = new Map<string, readonly number[]>();
	return {
		recordBatch(model, newest, oldestVersion) {
			// No version precedes the first one, so a batch that accepts it does not show the lag that the trainer accepts.
			if (oldestVersion > FIRST_VERSION) {
				samples.set(model, [...samples.get(model) ?? [], Math.max(0, newest - oldestVersion)].slice(-LAG_SAMPLES));
			}
		},
		lagOf: model => Math.min(MAXIMUM_LAG, Math.max(...samples.get(model) ?? [INITIAL_LAG])),
	};
}
