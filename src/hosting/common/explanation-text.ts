/** Puts an explanation into words, for the command `explain`. */
import {z} from 'zod';

const serverSchema = z.object({
	id: z.string(), availabilityZone: z.string(), requests: z.number(), slots: z.number(), limitPerSecond: z.number().optional(), waitMs: z.number().optional(), exclusions: z.array(z.string()).readonly(),
});
const poolSchema = z.object({
	name: z.string(), share: z.number(), hasCutLinks: z.boolean(), servers: z.array(serverSchema).readonly(),
});
/** Schema of an explanation that a daemon has sent, as far as the text needs it. */
export const explanationSchema = z.object({
	daemon: z.string(),
	host: z.string(),
	path: z.string(),
	method: z.string(),
	configuration: z.object({version: z.number(), mayBeOutdated: z.boolean()}).optional(),
	route: z.object({
		name: z.string(), pathPrefix: z.string(), repeatability: z.string(), priority: z.number(), attempts: z.number(), goalMs: z.number(), timeoutMs: z.number(),
	}).optional(),
	organisation: z.string().optional(),
	pools: z.array(poolSchema).readonly(),
	owner: z.object({name: z.string(), reason: z.string()}).optional(),
	refusals: z.array(z.object({status: z.number(), reason: z.string(), retryAfterMs: z.number().optional()})).readonly(),
	notes: z.array(z.string()).readonly(),
});

type ReadExplanation = z.output<typeof explanationSchema>;

const PERCENT = 100;

const EXCLUSIONS: Readonly<Record<string, string>> = {
	leaving: 'is leaving', notUsable: 'refused or broke off requests a moment ago', limited: 'has reached its request limit', failing: 'fails many requests',
};

function formatServer({id, availabilityZone, requests, slots, limitPerSecond, waitMs, exclusions}: z.output<typeof serverSchema>): string {
	const limit = limitPerSecond === undefined ? '' : `, takes ${limitPerSecond} requests a second, next in ${waitMs ?? 0} ms`;
	const state = exclusions.length === 0 ? 'allowed' : `left out: ${exclusions.map(exclusion => EXCLUSIONS[exclusion] ?? exclusion).join(', ')}`;
	return `    ${id} (${availabilityZone}): ${requests} of ${slots} slots in use${limit}; ${state}`;
}

function formatPool({name, share, hasCutLinks, servers}: z.output<typeof poolSchema>): readonly string[] {
	const links = hasCutLinks ? '; the links are cut, attempts go over another daemon' : '';
	return [`  pool ${name}: ${Math.round(share * PERCENT)}% of the requests, ${servers.length} servers${links}`, ...servers.map(formatServer)];
}

/** Returns the lines of the text. */
export function formatExplanation({daemon, host, path, method, configuration, route, organisation, pools, owner, refusals, notes}: ReadExplanation): readonly string[] {
	const version = configuration === undefined ? 'no configuration' : `configuration ${configuration.version}${configuration.mayBeOutdated ? ', which may be outdated' : ''}`;
	return [
		`${method} ${host}${path} at ${daemon} (${version})`,
		...(route === undefined ? [] : [`route ${route.name} (${route.pathPrefix}, ${route.repeatability}): priority ${route.priority}, at most ${route.attempts} servers, goal ${route.goalMs} ms, timeout ${route.timeoutMs} ms`]),
		...(organisation === undefined ? [] : [`organisation ${organisation}`]),
		...pools.flatMap(formatPool),
		...(owner === undefined ? [] : [`owner ${owner.name}: ${owner.reason}`]),
		...notes.map(note => `note: ${note}`),
		...(refusals.length === 0
			? ['nothing would refuse it now']
			: refusals.map(({status, reason, retryAfterMs}) => `would be refused with ${status}: ${reason}${retryAfterMs === undefined ? '' : `, retry after ${retryAfterMs} ms`}`)),
	];
}
