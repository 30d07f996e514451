/**
 * The two lists that operators edit: customers' plans, and what each plan may use. They are one configuration object in
 * the store, so that they change together and have one version.
 */
import {z} from 'zod';

const name = z.string().regex(/^[a-z][a-z\d-]{0,62}$/, 'a name of lower-case letters, digits and hyphens');

const planFields = {
	name,
	customer: name,
	/** Share of capacity relative to other plans when there is not enough for all. */
	weight: z.number().min(0.001).max(1000).default(1),
	/** SHA-256 digests of the plan's API keys, lower-case hexadecimal. */
	keyHashes: z.array(z.string().regex(/^[\da-f]{64}$/, 'a SHA-256 digest in lower-case hexadecimal')).readonly().default([]),
	/** Trainers that may act under the plan. */
	trainers: z.array(name).readonly().default([]),
};

const grantFields = {
	plan: name,
	pool: name,
	/** Requests per second over the whole fleet. */
	requestsPerSecond: z.number().min(0).max(1_000_000),
	/** Generated tokens per second over the whole fleet, for engine pools. */
	tokensPerSecond: z.number().min(0).max(1_000_000_000).optional(),
	/** Seconds of the rate that may be used in one burst. */
	burstSeconds: z.number().min(0.1).max(60).default(1),
};

const plan = z.strictObject(planFields);
const grant = z.strictObject(grantFields);

/** The two lists. Each plan is named once, each pair of plan and pool is granted once, and every grant names a plan. */
export const listsSchema = z.strictObject({
	plans: z.array(plan).readonly(),
	grants: z.array(grant).readonly(),
}).readonly();

/** The lists as stored: fields that a newer version has added are passed over, so that daemons of two versions run side by side. */
export const storedListsSchema = z.object({
	plans: z.array(z.object(planFields)).readonly(),
	grants: z.array(z.object(grantFields)).readonly(),
}).readonly();

/** A customer's plan. */
export type Plan = z.output<typeof plan>;

/** What a plan may use of a pool. */
export type Grant = z.output<typeof grant>;

/** The two lists, checked. */
export type Lists = z.output<typeof listsSchema>;

/** The two lists before any operator has written them. */
export const emptyLists: Lists = {plans: [], grants: []};

/** The lists with the version of the store object that holds them; 0 before the first write. */
export type VersionedLists = {
	readonly version: number;
	readonly lists: Lists;
};
