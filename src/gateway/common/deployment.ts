/** The operators' configuration of a hosted deployment: which requests go to which pools, and under which rules. */

/** What may be repeated of the requests of a route. */
export type Repeatability = 'idempotent' | 'nonIdempotent' | 'stream' | 'batch';

/** A pool that takes a share of a route's requests. */
export type PoolShare = {
	readonly pool: string;
	readonly weight: number;
};

/** Where requests of one host and path prefix go. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly repeatability: Repeatability;
	/** Longest time that a caller is kept waiting, in milliseconds. */
	readonly timeoutMs: number;
	/** Time within which an answer is worth most, in milliseconds. */
	readonly goalMs: number;
	/** Rank of the route's requests; 0 goes first. */
	readonly priority: number;
	/** Most backend servers that one attempt of a caller may reach. */
	readonly attempts: number;
	readonly pools: readonly PoolShare[];
	/** Whether another backend server may go on with a broken stream. */
	readonly canResume: boolean;
	/** Batch routes: time until all results are due, from the submission. */
	readonly dueMs: number;
	/** Batch routes: age of a batch from which its items may be given up. */
	readonly giveUpAfterMs: number;
	/** Batch routes: whether one weight version must generate the whole of a sample. */
	readonly needsSingleVersion: boolean;
};

/** Backend servers that are alike. */
export type DeployedPool = {
	readonly name: string;
	readonly maximumConnections: number;
	/** Requests that each server runs at once; undefined where the servers themselves say. */
	readonly slots: number | undefined;
	/** Models that the pool's engines serve; empty for plain services. */
	readonly models: readonly string[];
};

/** What callers may send. */
export type CallerLimits = {
	readonly maximumBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** One version of the configuration. */
export type Deployment = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly pools: readonly DeployedPool[];
	readonly limits: CallerLimits;
};

/** The newest configuration that a daemon knows. */
export type DeploymentHolder = {
	readonly current: () => Deployment | undefined;
	/** Takes a configuration unless a newer one is known; returns whether it was taken. */
	readonly offer: (deployment: Deployment) => boolean;
	/** Notes that nothing newer than the current configuration was written at `at`. */
	readonly confirm: (at: number) => void;
	/** Whether a newer configuration may have been in force for long without this daemon knowing of it. */
	readonly mayBeOutdated: (now: number) => boolean;
	/** Finds the route of a host and path by the longest matching prefix. */
	readonly findRoute: (host: string, path: string) => Route | undefined;
};

/** A poll for configurations that is well ends within 3.5 s, and its answer may pass through another daemon. */
const CONFIRMED_FOR_MS = 5000;

type RoutesByPrefix = ReadonlyMap<string, Route>;

function indexByHost(deployment: Deployment): ReadonlyMap<string, RoutesByPrefix> {
	const byHost = new Map<string, Map<string, Route>>();
	deployment.routes.forEach(route => {
		const routes = byHost.get(route.host) ?? new Map<string, Route>();
		// Of two routes with one prefix the first counts.
		routes.set(route.pathPrefix, routes.get(route.pathPrefix) ?? route);
		byHost.set(route.host, routes);
	});
	return byHost;
}

/** Prefixes end with a slash, so only the parts of a path up to a slash can match; the longest comes first. */
function listPrefixes(path: string): readonly string[] {
	return [...path].flatMap((character, index) => (character === '/' ? [path.slice(0, index + 1)] : [])).toReversed();
}

/** Creates a holder without a configuration. */
export function createDeploymentHolder(): DeploymentHolder {
	let current: Deployment | undefined;
	let byHost: ReadonlyMap<string, RoutesByPrefix> = new Map();
	let confirmedAt = Number.NEGATIVE_INFINITY;

	return {
		confirm(at) {
			confirmedAt = Math.max(confirmedAt, at);
		},
		mayBeOutdated: now => now - confirmedAt > CONFIRMED_FOR_MS,
		current: () => current,
		offer(deployment) {
			if (current !== undefined && deployment.version <= current.version) {
				return false;
			}

			current = deployment;
			byHost = indexByHost(deployment);
			return true;
		},
		findRoute(host, path) {
			const bare = path.split('?', 1)[0] ?? path;
			const routes = byHost.get(host);
			const prefix = routes === undefined ? undefined : listPrefixes(bare).find(candidate => routes.has(candidate));
			return prefix === undefined ? undefined : routes?.get(prefix);
		},
	};
}

/** Chooses a pool of a route by weight. `draw` is a random number from 0 to 1. */
export function choosePool(route: Route, draw: number): string | undefined {
	const total = route.pools.reduce((sum, share) => sum + share.weight, 0);
	const point = draw * total;
	const sums = route.pools.map((_, index) => route.pools.slice(0, index + 1).reduce((sum, share) => sum + share.weight, 0));
	const index = sums.findIndex(sum => point < sum);
	return (route.pools[index] ?? route.pools.at(-1))?.pool;
}
