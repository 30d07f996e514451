/**
 * Explains where a daemon would send a request now, and why, without sending it. It only reads: it draws no random numbers and changes
 * nothing that later decisions depend on.
 */
import type {Failure} from '../../base/common/failure.js';
import type {DeploymentHolder, Route} from '../../gateway/common/deployment.js';
import type {PoolServers} from '../../gateway/common/pool-servers.js';
import type {ServerLinks} from '../../gateway/common/server-links.js';
import type {ServerEntry, ServerView} from '../../gateway/common/server-view.js';
import {createServiceKey} from '../../kernel/common/contribution.js';
import {computePatience, planPermit} from '../../limits/common/permit-plan.js';
import type {ServerPermits} from '../../limits/common/server-permits.js';
import type {SuspectTable} from '../../requests/common/suspect-table.js';
import type {LoadEstimate} from '../../routing/common/load-estimate.js';

/** The request to explain. */
export type ExplanationQuery = {
	readonly host: string;
	/** Path with query. */
	readonly path: string;
	readonly method: string;
	/** The caller's key; it does not appear in the explanation. */
	readonly key: string | undefined;
	/** Fingerprint of the request, as logs name it. */
	readonly fingerprint: string | undefined;
	/** Id of a batch, for routes of batches. */
	readonly batchId: string | undefined;
};

/** How far a daemon has stopped. */
export type ServingPhase = 'serving' | 'notReady' | 'draining' | 'refusing';

/** Something that would refuse the request now. */
export type Refusal = {
	readonly status: number;
	readonly reason: string;
	readonly retryAfterMs?: number;
};

/** Why a server would not get the request. */
export type ServerExclusion
	/** It is leaving. */
	= | 'leaving'
	/** It refused or broke off requests a moment ago, and is avoided for a time. */
		| 'notUsable'
	/** It states a request limit, and no permit is expected now. */
		| 'limited'
	/** Many of its recent requests failed; it gets the request only if no other server can. */
		| 'failing';

/** A server of a pool. */
export type ExplainedServer = {
	readonly id: string;
	readonly availabilityZone: string;
	/** Requests that are probably running or waiting there. */
	readonly requests: number;
	readonly slots: number;
	/** Requests a second that it takes from all daemons; undefined without a limit. */
	readonly limitPerSecond?: number;
	/** Expected time until it takes another request because of its limit. */
	readonly waitMs?: number;
	/** Empty for a server that may get the request. */
	readonly exclusions: readonly ServerExclusion[];
};

/** A pool of the matched route. */
export type ExplainedPool = {
	readonly name: string;
	/** Share of the route's requests. */
	readonly share: number;
	/** Whether this daemon's links to the pool are cut, so that attempts go over another daemon. */
	readonly hasCutLinks: boolean;
	readonly servers: readonly ExplainedServer[];
};

/** The daemon that would own a batch, or owns it. */
export type ExplainedOwner = {
	readonly name: string;
	readonly reason: string;
};

/** The explanation. Its JSON form is read by the command `explain`, which may be of another build. */
export type Explanation = {
	readonly daemon: string;
	readonly host: string;
	readonly path: string;
	readonly method: string;
	readonly phase: ServingPhase;
	/** The configuration in force; undefined when none is known. */
	readonly configuration?: {readonly version: number; readonly mayBeOutdated: boolean};
	readonly route?: Pick<Route, 'name' | 'pathPrefix' | 'repeatability' | 'priority' | 'attempts' | 'goalMs' | 'timeoutMs'>;
	/** The organisation of the key; undefined without a known key. */
	readonly organisation?: string;
	readonly pools: readonly ExplainedPool[];
	readonly owner?: ExplainedOwner;
	readonly refusals: readonly Refusal[];
	readonly notes: readonly string[];
};

/** What the key of a request says. */
export type KeyVerdict
	= | {readonly kind: 'admitted'; readonly organisation: string | undefined}
		| {readonly kind: 'denied'}
	/** A newer configuration may contain the key. */
		| {readonly kind: 'unknown'};

/** Reads the state of a daemon; none of the functions changes it. */
export type ExplanationFacts = {
	readonly daemon: string;
	readonly phase: () => ServingPhase;
	readonly deployment: Pick<DeploymentHolder, 'current' | 'mayBeOutdated' | 'findRoute'>;
	readonly view: Pick<ServerView, 'list'>;
	readonly loads: Pick<LoadEstimate, 'read'>;
	readonly permits: Pick<ServerPermits, 'waitMs'>;
	readonly limitOf: (server: ServerEntry) => number | undefined;
	readonly links: Pick<ServerLinks, 'isCut'>;
	readonly listPoolServers: PoolServers;
	readonly suspects: Pick<SuspectTable, 'check'>;
	/** Tells calls of the batch API, which need no route, from requests to forward. */
	readonly readCall: (query: ExplanationQuery) => ExplainedCall;
	/** Checks the key; undefined where callers need none. */
	readonly authorize: ((route: Route, key: string | undefined) => KeyVerdict) | undefined;
	/** The daemon that owns a batch, or would own it if it were submitted now. */
	readonly findOwner: (batch: {readonly id: string | undefined; readonly host: string; readonly path: string}, now: number) => ExplainedOwner;
	/** The daemon that owned an accepted batch when this daemon last heard of it. */
	readonly findKnownOwner: (batchId: string) => string | undefined;
};

/** What a request is. */
export type ExplainedCall
	= | {readonly kind: 'forward'}
		| {readonly kind: 'malformed'}
		| {readonly kind: 'batchCall'; readonly batchId: string};

/** Explains requests. */
export type Explainer = (query: ExplanationQuery) => Explanation;

/** Key of the daemon's explainer; provided only where callers are served. */
export const explainerKey = createServiceKey<Explainer>('explainer');

const STATUS = {
	badRequest: 400, unauthorized: 401, notFound: 404, unavailable: 503,
} as const;

function explainPhase(phase: ServingPhase): {readonly refusals: readonly Refusal[]; readonly notes: readonly string[]} {
	switch (phase) {
		case 'serving': {
			return {refusals: [], notes: []};
		}

		case 'notReady': {
			return {refusals: [], notes: ['the daemon is stopping and reports that it is not ready; it still serves requests']};
		}

		case 'draining': {
			return {refusals: [], notes: ['the daemon is stopping; a request whose deadline is after the end of the process is refused with 503']};
		}

		case 'refusing': {
			return {refusals: [{status: STATUS.unavailable, reason: 'the daemon is stopping'}], notes: []};
		}
	}
}

function explainMissingRoute({deployment}: ExplanationFacts, now: number): Refusal {
	if (deployment.current() === undefined) {
		return {status: STATUS.unavailable, reason: 'no configuration yet'};
	}

	return deployment.mayBeOutdated(now)
		? {status: STATUS.unavailable, reason: 'no route in a configuration that may be outdated'}
		: {status: STATUS.notFound, reason: 'no route'};
}

function explainServer(server: ServerEntry, isUsable: boolean, isFailing: boolean, facts: ExplanationFacts, now: number): ExplainedServer {
	const load = facts.loads.read(server.id, now);
	const limitPerSecond = facts.limitOf(server);
	const waitMs = facts.permits.waitMs(server.id, 'caller', now);
	const exclusions = [
		...(server.isLeaving ? ['leaving' as const] : []),
		...(!server.isLeaving && !isUsable ? ['notUsable' as const] : []),
		...(waitMs > 0 ? ['limited' as const] : []),
		...(isFailing ? ['failing' as const] : []),
	];
	return {
		id: server.id,
		availabilityZone: server.availabilityZone,
		requests: Math.round(load.likelyRequests * 10) / 10,
		slots: load.slots,
		...(limitPerSecond !== undefined && {limitPerSecond, waitMs: Math.round(waitMs)}),
		exclusions,
	};
}

function explainPools(route: Route, facts: ExplanationFacts, now: number): readonly ExplainedPool[] {
	const total = route.pools.reduce((sum, {weight}) => sum + weight, 0);
	return route.pools.map(({pool, weight}) => {
		const states = new Map(facts.listPoolServers(pool, now).map(state => [state.id, state]));
		return {
			name: pool,
			share: weight / total,
			hasCutLinks: facts.links.isCut(pool),
			servers: facts.view.list(pool).map(server => explainServer(server, states.get(server.id)?.isUsable ?? false, states.get(server.id)?.isFailing ?? false, facts, now)),
		};
	});
}

/** What would refuse the request because of its servers. */
function explainServers(route: Route, pools: readonly ExplainedPool[]): readonly Refusal[] {
	if (route.pools.length === 0) {
		return [{status: STATUS.unavailable, reason: 'the route has no pools'}];
	}

	const usable = pools.flatMap(({servers}) => servers).filter(({exclusions}) => !exclusions.includes('leaving') && !exclusions.includes('notUsable'));
	if (usable.length === 0) {
		return [{status: STATUS.unavailable, reason: 'no backend server is available for the request'}];
	}

	const plan = planPermit(
		usable.map(({id, waitMs}) => ({serverId: id, waitMs: waitMs ?? 0})),
		computePatience('caller', {elapsedMs: 0, remainingMs: route.timeoutMs, goalMs: route.goalMs}),
	);
	return plan.kind === 'refuse' ? [{status: STATUS.unavailable, reason: 'all backend servers have reached their request limits', retryAfterMs: plan.retryAfterMs}] : [];
}

function toRefusal({message, retryAfterMs}: Failure): Refusal {
	return {status: STATUS.unavailable, reason: message, ...(retryAfterMs !== undefined && {retryAfterMs: Math.round(retryAfterMs)})};
}

function explainSuspicion({fingerprint}: ExplanationQuery, {suspects}: ExplanationFacts, now: number): {readonly refusals: readonly Refusal[]; readonly notes: readonly string[]} {
	if (fingerprint === undefined) {
		return {refusals: [], notes: ['whether servers crashed under the request is not known without its fingerprint']};
	}

	return suspects.check(fingerprint, now).match(
		isolation => ({refusals: [], notes: isolation === 'trial' ? ['servers crashed under the request; it would be tried at one server only'] : []}),
		failure => ({refusals: [toRefusal(failure)], notes: []}),
	);
}

function explainKey(verdict: KeyVerdict | undefined): readonly Refusal[] {
	switch (verdict?.kind) {
		case 'denied': {
			return [{status: STATUS.unauthorized, reason: 'the key is missing or unknown'}];
		}

		case 'unknown': {
			return [{status: STATUS.unavailable, reason: 'the key is not in a configuration that may be outdated'}];
		}

		case 'admitted':
		case undefined: {
			return [];
		}
	}
}

/** Explains a request at a daemon. */
export function explainRequest(query: ExplanationQuery, facts: ExplanationFacts, now: number): Explanation {
	const {host, path, method} = query;
	const deployment = facts.deployment.current();
	const phase = facts.phase();
	const stopping = explainPhase(phase);
	const common = {
		daemon: facts.daemon, host, path, method, phase, ...(deployment !== undefined && {configuration: {version: deployment.version, mayBeOutdated: facts.deployment.mayBeOutdated(now)}}),
	};
	const call = facts.readCall(query);
	if (call.kind === 'malformed') {
		return {
			...common, pools: [], refusals: [{status: STATUS.badRequest, reason: 'the path can\'t be decoded or sent'}], notes: stopping.notes,
		};
	}

	if (call.kind === 'batchCall') {
		const owner = facts.findKnownOwner(call.batchId);
		return {
			...common,
			pools: [],
			owner: owner === undefined ? {name: 'unknown', reason: 'this daemon would read it from the store'} : {name: owner, reason: 'it owned the batch when this daemon last heard of it'},
			refusals: stopping.refusals,
			notes: [...stopping.notes, 'a call of the batch API, which the owner of the batch answers; it needs no route'],
		};
	}

	const route = facts.deployment.findRoute(host, path);
	if (route === undefined) {
		return {
			...common, pools: [], refusals: [...stopping.refusals, explainMissingRoute(facts, now)], notes: stopping.notes,
		};
	}

	const {name, pathPrefix, repeatability, priority, attempts, goalMs, timeoutMs} = route;
	const explained = {
		...common, route: {
			name, pathPrefix, repeatability, priority, attempts, goalMs, timeoutMs,
		}, pools: explainPools(route, facts, now),
	};
	const verdict = facts.authorize?.(route, query.key);
	const organisation = verdict?.kind === 'admitted' ? verdict.organisation : undefined;
	const keyRefusals = explainKey(verdict);
	if (repeatability === 'batch') {
		return {
			...explained, ...(organisation !== undefined && {organisation}), refusals: [...stopping.refusals, ...keyRefusals], notes: stopping.notes, owner: facts.findOwner({id: query.batchId, host, path}, now),
		};
	}

	const suspicion = explainSuspicion(query, facts, now);
	return {
		...explained,
		...(organisation !== undefined && {organisation}),
		refusals: [...stopping.refusals, ...keyRefusals, ...suspicion.refusals, ...explainServers(route, explained.pools)],
		notes: [...stopping.notes, ...suspicion.notes],
	};
}
