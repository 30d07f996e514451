/** The operators' configuration of a hosted deployment: which pools serve which requests of which organisations, with which limits and retry rules. */
import {isFieldValue} from '../../adapters/common/http-fields.js';

/** How the requests of a route may be retried. */
export type Repeatability = 'idempotent' | 'nonIdempotent' | 'stream' | 'batch';

/** A pool that receives a share of a route's requests, in proportion to its weight. */
export type PoolShare = {
	readonly pool: string;
	readonly weight: number;
};

/** Maps requests of one host and path prefix to pools. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly repeatability: Repeatability;
	/** Maximum time from receiving a request to answering its caller, in milliseconds. */
	readonly timeoutMs: number;
	/** Target response time, in milliseconds. */
	readonly goalMs: number;
	/** Priority of the route's requests; 0 is the highest. */
	readonly priority: number;
	/** Maximum number of backend servers that one request of a caller may be sent to. */
	readonly attempts: number;
	readonly pools: readonly PoolShare[];
	/** Whether another backend server may resume an interrupted stream. */
	readonly canResume: boolean;
	/** Batch routes: time from submission until all results are due, in milliseconds. */
	readonly dueMs: number;
	/** Batch routes: age of a batch from which its items may be abandoned, in milliseconds. */
	readonly giveUpAfterMs: number;
	/** Batch routes: whether a single weight version must generate a complete sample. */
	readonly needsSingleVersion: boolean;
	/** Whether requests need no key. */
	readonly isPublic?: boolean;
};

/** A customer whose requests carry one of its keys. */
export type Organisation = {
	readonly name: string;
	readonly keys: readonly string[];
	/** Priority of the organisation's requests, in place of that of their routes; 0 is the highest. */
	readonly priority: number | undefined;
};

/** Whether requests need the key of an organisation. */
export type Tenancy
	= | {readonly kind: 'none'}
		| {readonly kind: 'required'; readonly organisations: readonly Organisation[]};

/** How many servers of a pool may be ordered, and what they cost. */
export type PoolScale = {
	/** Smallest and largest number of servers in each availability zone. */
	readonly minimum: number;
	readonly maximum: number;
	/** Time from an order until its servers begin to serve, in milliseconds. */
	readonly bootMs: number;
	/** Price of a server by availability zone, relative to the others. */
	readonly priceByZone: Readonly<Record<string, number>>;
};

/** A pool of equivalent backend servers. */
export type DeployedPool = {
	readonly name: string;
	readonly maximumConnections: number;
	/** Requests that each server runs concurrently; undefined where the servers report it themselves. */
	readonly slots: number | undefined;
	/** Models that the pool's engines serve; empty for plain services. */
	readonly models: readonly string[];
	/** Undefined for pools whose size is fixed, and if the daemon that sent the configuration does not know it. */
	readonly scale?: PoolScale | undefined;
};

/** Limits on callers' requests and connections. */
export type CallerLimits = {
	/** Maximum size of the head of a request; absent in configurations of earlier builds, and where the configuration sets none. */
	readonly maximumHeaderBytes?: number;
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
	/** Undefined where a daemon of an earlier build sent the configuration: whether there are organisations is not known then. */
	readonly tenancy?: Tenancy;
};

/** Whether a text can be the name of an organisation: it reaches servers in a header, which loses spaces at its ends. */
export function isOrganisationName(text: string): boolean {
	return text !== '' && text.trim() === text && isFieldValue(text);
}

/** Holds the newest configuration that a daemon knows. */
export type DeploymentHolder = {
	readonly current: () => Deployment | undefined;
	/** Stores a configuration if it is newer than the current one; returns whether it was stored. */
	readonly offer: (deployment: Deployment) => boolean;
	/** Records that at monotonic time `at` the store held nothing newer than the current configuration. */
	readonly confirm: (at: number) => void;
	/** Whether the current configuration has not been confirmed within `CONFIRMATION_TTL_MS`, so that a newer one may be in force. */
	readonly mayBeOutdated: (now: number) => boolean;
	/** Finds the route for a host and path by the longest matching prefix. */
	readonly findRoute: (host: string, path: string) => Route | undefined;
	/** Finds the organisation of a key. */
	readonly findOrganisation: (key: string) => Organisation | undefined;
};

/** A confirmation counts for this long: a successful poll for configurations ends within 3.5 s, and its result may be relayed by another daemon. */
const CONFIRMATION_TTL_MS = 5000;

/** The routes of one host. */
type HostRoutes = {
	readonly byPrefix: ReadonlyMap<string, Route>;
	/** Length of the longest prefix. */
	readonly longestPrefix: number;
};

function indexByHost({routes}: Deployment): ReadonlyMap<string, HostRoutes> {
	const hosts = [...new Set(routes.map(({host}) => host))];
	return new Map(hosts.map(host => {
		const ofHost = routes.filter(route => route.host === host);
		// If two routes have the same prefix, the first one wins.
		const byPrefix = new Map(ofHost.toReversed().map(route => [route.pathPrefix, route] as const));
		return [host, {byPrefix, longestPrefix: Math.max(...ofHost.map(({pathPrefix}) => pathPrefix.length))}];
	}));
}

/** If two organisations have the same key, it belongs to the first. */
function indexByKey({tenancy}: Deployment): ReadonlyMap<string, Organisation> {
	const organisations = tenancy?.kind === 'required' ? tenancy.organisations : [];
	return new Map(organisations.toReversed().flatMap(organisation => organisation.keys.map(key => [key, organisation] as const)));
}

/** Lists the parts of a path that end with a slash, longest first. Only these can match, because route prefixes end with a slash. */
function listPrefixes(path: string): readonly string[] {
	return [...path].flatMap((character, index) => (character === '/' ? [path.slice(0, index + 1)] : [])).toReversed();
}

/** Finds the route with the longest prefix of a path. The path is looked at as far as the longest prefix reaches, so a long one costs no more. */
function findByPath(path: string, {byPrefix, longestPrefix}: HostRoutes): Route | undefined {
	const prefix = listPrefixes(path.slice(0, longestPrefix)).find(candidate => byPrefix.has(candidate));
	return prefix === undefined ? undefined : byPrefix.get(prefix);
}

/** Creates a holder that has no configuration yet. `resumedAt` returns the monotonic time at which the VM was last resumed: earlier confirmations may be older than they seem. */
export function createDeploymentHolder(resumedAt: () => number = () => Number.NEGATIVE_INFINITY): DeploymentHolder {
	let current: Deployment | undefined;
	let byHost: ReadonlyMap<string, HostRoutes> = new Map();
	let byKey: ReadonlyMap<string, Organisation> = new Map();
	let confirmedAt = Number.NEGATIVE_INFINITY;

	return {
		confirm(at) {
			resumedAt();
			confirmedAt = Math.max(confirmedAt, at);
		},
		mayBeOutdated: now => now - confirmedAt > CONFIRMATION_TTL_MS || confirmedAt < resumedAt(),
		current: () => current,
		offer(deployment) {
			if (current !== undefined && deployment.version <= current.version) {
				return false;
			}

			current = deployment;
			byHost = indexByHost(deployment);
			byKey = indexByKey(deployment);
			return true;
		},
		findRoute(host, path) {
			const routes = byHost.get(host);
			return routes === undefined ? undefined : findByPath(path.split('?', 1)[0] ?? path, routes);
		},
		findOrganisation: key => byKey.get(key),
	};
}

/** Chooses a pool of a route by weight; undefined when the route has no pools. `draw` is a random number in [0, 1). */
export function choosePool(route: Route, draw: number): string | undefined {
	const total = route.pools.reduce((sum, share) => sum + share.weight, 0);
	const point = draw * total;
	const sums = route.pools.map((_, index) => route.pools.slice(0, index + 1).reduce((sum, share) => sum + share.weight, 0));
	const index = sums.findIndex(sum => point < sum);
	return (route.pools[index] ?? route.pools.at(-1))?.pool;
}

/** Lists the pools of routes whose streams another server may continue. */
export function listResumablePools(deployment: Deployment | undefined): readonly string[] {
	const routes = deployment?.routes.filter(route => route.repeatability === 'stream' && route.canResume) ?? [];
	return [...new Set(routes.flatMap(route => route.pools.map(({pool}) => pool)))];
}
