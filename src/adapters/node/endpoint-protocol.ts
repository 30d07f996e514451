/** The part of the HTTP protocol that engines and plain services have in common. */
import {z} from 'zod';
import type {Endpoint} from '../common/engine.js';

/** Time limit for load reports and orders, to which a healthy backend server responds immediately. */
export const REPORT_TIMEOUT_MS = 2000;

/** A load report as JSON. */
export const loadReport = z.object({
	running: z.number(),
	queued: z.number(),
	slots: z.number(),
	tokensPerSecond: z.number(),
	ageMs: z.number(),
	uptimeMs: z.number().optional(),
});

/** Returns the base URL of an endpoint. */
export function urlOf(endpoint: Endpoint): string {
	const host = endpoint.address.includes(':') ? `[${endpoint.address}]` : endpoint.address;
	return `http://${host}:${endpoint.port}`;
}
