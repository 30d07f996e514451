/** Matches requests to registered routes. */
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import type {Route} from './front.js';

/** A route that matches, with the values of its path parameters. */
export type RouteMatch = {
	readonly route: Route;
	readonly parameters: Readonly<Record<string, string>>;
};

/** The registered routes. */
export type RouteTable = {
	/** Throws when the method and path are already registered, which means that two features of the build conflict. */
	readonly add: (route: Route) => void;
	readonly match: (method: string, path: string) => Result<RouteMatch, Failure>;
};

type Parameters = Readonly<Record<string, string>>;

function decodeSegment(segment: string): string | undefined {
	try {
		return decodeURIComponent(segment);
	} catch {
		return undefined;
	}
}

function matchSegments(pattern: readonly string[], segments: readonly string[]): Parameters | undefined {
	const [head, ...restOfPattern] = pattern;
	if (head === undefined) {
		return segments.length === 0 ? {} : undefined;
	}

	if (head.startsWith('*')) {
		// The rest is not decoded, because it is the path to request from a backend server.
		return {[head.slice(1)]: segments.join('/')};
	}

	const [segment, ...restOfSegments] = segments;
	if (segment === undefined) {
		return undefined;
	}

	const value = decodeSegment(segment);
	const isParameter = head.startsWith(':') && value !== undefined && value !== '';
	if (!isParameter && head !== segment) {
		return undefined;
	}

	const rest = matchSegments(restOfPattern, restOfSegments);
	return rest && isParameter ? {[head.slice(1)]: value, ...rest} : rest;
}

function accepts(route: Route, method: string): boolean {
	return route.method === 'ANY' || route.method === method;
}

/** Creates an empty table. */
export function createRouteTable(): RouteTable {
	const routes: Route[] = [];

	return {
		add(route) {
			if (routes.some(other => other.method === route.method && other.path === route.path)) {
				throw new Error(`route ${route.method} ${route.path} is registered twice`);
			}

			routes.push(route);
		},
		match(method, path) {
			const segments = path.split('/');
			const matches = routes.flatMap(route => {
				const parameters = matchSegments(route.path.split('/'), segments);
				return parameters === undefined ? [] : [{route, parameters}];
			});
			const match = matches.find(candidate => accepts(candidate.route, method));
			const origin = {step: 'find route', peer: 'self'};
			if (match) {
				return ok(match);
			}

			return matches.length > 0
				? err(createNotRun('unsupported', origin, `${path} does not support method ${method}`))
				: err(createNotRun('notFound', origin, `no such path: ${path}`));
		},
	};
}
