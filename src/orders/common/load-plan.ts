/**
 * Decides which engines serve which models, and which engine loads a named weight version next. Trainers that accept
 * versions behind the newest let engines skip versions: a part of a model's engines loads each version, in turns.
 */

/** An engine as the plan sees it. */
export type PlannedEngine = {
	readonly id: string;
	readonly versions: ReadonlyMap<string, number>;
	/** Requests that run there, as far as this daemon knows. */
	readonly running: number;
};

/** The models that engines serve, by engine id. */
export type Assignment = ReadonlyMap<string, readonly string[]>;

/** What trainers want of a model. */
export type ModelTarget = {
	/** The newest named version. */
	readonly version: number;
	/** Versions behind the newest that samples may be made with. */
	readonly lag: number;
};

/** A load to order. */
export type PlannedLoad = {
	readonly engineId: string;
	readonly model: string;
	readonly version: number;
};

/** Share of a pool's engines that may load at once; a larger one slows each load down. */
const CONCURRENT_SHARE = 0.3;
const FEWEST_CONCURRENT = 2;
/** Version that engines start with. */
const FIRST_VERSION = 1;

/** Engines of a pool that may load at the same time. */
export function countConcurrentLoads(engines: number): number {
	return Math.max(FEWEST_CONCURRENT, Math.floor(engines * CONCURRENT_SHARE));
}

function countAssigned(assignment: Assignment, model: string): number {
	return [...assignment.values()].filter(models => models.includes(model)).length;
}

function heldVersion(engine: PlannedEngine, model: string): number {
	return engine.versions.get(model) ?? FIRST_VERSION;
}

/** Models of an engine in the order in which it should keep them: those it served before, then those with fewest engines. */
function rankModels(engine: PlannedEngine, models: readonly string[], before: readonly string[], assigned: Assignment): readonly string[] {
	return models.toSorted((a, b) => {
		const kept = Number(before.includes(b)) - Number(before.includes(a));
		const spread = countAssigned(assigned, a) - countAssigned(assigned, b);
		return kept || spread || heldVersion(engine, b) - heldVersion(engine, a);
	});
}

/**
 * Assigns up to `modelsPerEngine` models to each engine, so that models have about equally many engines and few engines
 * change their models.
 */
export function assignEngines(previous: Assignment, engines: readonly PlannedEngine[], models: readonly string[], modelsPerEngine: number): Assignment {
	const each = Math.min(modelsPerEngine, models.length);
	const most = Math.ceil(engines.length * each / Math.max(1, models.length));
	const assigned = new Map<string, readonly string[]>();
	engines.toSorted((a, b) => (a.id < b.id ? -1 : 1)).forEach(engine => {
		const before = previous.get(engine.id) ?? models.filter(model => heldVersion(engine, model) > FIRST_VERSION);
		const open = models.filter(model => countAssigned(assigned, model) < most);
		assigned.set(engine.id, rankModels(engine, open, before, assigned).slice(0, each));
	});
	return assigned;
}

/** Loads that were ordered. */
export type LoadsUnderWay = {
	/** Engines whose new version is not confirmed yet, with the model that each loads. */
	readonly loading: ReadonlyMap<string, string>;
	/** Loads that take up the weight store. */
	readonly active: number;
};

type Candidate = PlannedLoad & {
	/** Engines that serve the model within the accepted lag, or soon will. */
	readonly inService: number;
	readonly behind: number;
	readonly running: number;
};

/** Loads of one model that are due: engines too far behind, and so many more that each version is loaded by its part. */
function listDue(model: string, target: ModelTarget, engines: readonly PlannedEngine[], loading: ReadonlyMap<string, string>): readonly Candidate[] {
	const part = Math.ceil(engines.length / (target.lag + 1));
	const isLoading = (engine: PlannedEngine): boolean => loading.get(engine.id) === model;
	const current = engines.filter(engine => isLoading(engine) || heldVersion(engine, model) >= target.version).length;
	const inService = engines.filter(engine => isLoading(engine) || heldVersion(engine, model) >= target.version - target.lag).length;
	return engines
		.filter(engine => !isLoading(engine) && heldVersion(engine, model) < target.version)
		.map(engine => ({
			engineId: engine.id, model, version: target.version, inService, behind: target.version - heldVersion(engine, model), running: engine.running,
		}))
		.toSorted((a, b) => b.behind - a.behind || a.running - b.running)
		.filter((candidate, index) => candidate.behind > target.lag || index < part - current);
}

/**
 * Chooses the loads to order now: those first whose model has the fewest engines in service. `loading` holds the engines
 * under orders, with the model that each loads; `active` of these still load, as far as is known.
 */
export function planLoads(engines: readonly PlannedEngine[], assignment: Assignment, targets: ReadonlyMap<string, ModelTarget>, {loading, active}: LoadsUnderWay): readonly PlannedLoad[] {
	const room = countConcurrentLoads(engines.length) - active;
	const due = [...targets].flatMap(([model, target]) => {
		const own = engines.filter(engine => assignment.get(engine.id)?.includes(model) === true);
		// Each load that is ordered counts for the ones after it.
		return listDue(model, target, own, loading).map((load, index) => ({...load, inService: load.inService + index}));
	}).toSorted((a, b) => a.inService - b.inService || b.behind - a.behind || a.running - b.running);
	const open = due.filter(load => !loading.has(load.engineId));
	const first = open.filter((load, index) => open.findIndex(other => other.engineId === load.engineId) === index);
	return first.slice(0, Math.max(0, room)).map(({engineId, model, version}) => ({engineId, model, version}));
}

/** Samples of a trainer's lag that are remembered. */
const REMEMBERED_LAGS = 3;
/** Lag that is assumed before a trainer has shown its own. */
const ASSUMED_LAG = 1;
const LARGEST_LAG = 4;

/** The lag that the trainers of each model accept, as their batches show it. */
export type LagBook = {
	readonly note: (model: string, newest: number, oldestVersion: number) => void;
	readonly lagOf: (model: string) => number;
};

/** Creates a book without samples. */
export function createLagBook(): LagBook {
	const samples = new Map<string, readonly number[]>();
	return {
		note(model, newest, oldestVersion) {
			// The first version has none before it, whatever the trainer would accept.
			if (oldestVersion > FIRST_VERSION) {
				samples.set(model, [...samples.get(model) ?? [], Math.max(0, newest - oldestVersion)].slice(-REMEMBERED_LAGS));
			}
		},
		lagOf: model => Math.min(LARGEST_LAG, Math.max(...samples.get(model) ?? [ASSUMED_LAG])),
	};
}
