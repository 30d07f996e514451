/**
 * The two lists that operators edit: the customers' plans, and the grants of each plan on pools. Both are in one
 * configuration object in the store, so that they change together and have one version.
 */
import {z} from 'zod';

const nameSchema = z.string().regex(/^[a-z][a-z\d-]{0,62}$/, 'a name of lower-case letters, digits and hyphens');

const planFields = {
	name: nameSchema,
	customer: nameSchema,
	/** Weight relative to other plans, by which capacity is divided when it doesn't suffice for all. */
	weight: z.number().min(0.001).max(1000).default(1),
	/** SHA-256 digests of the plan's API keys, lower-case hexadecimal. */
	keyHashes: z.array(z.string().regex(/^[\da-f]{64}$/, 'a SHA-256 digest in lower-case hexadecimal')).readonly().default([]),
	/** Trainers that may act under the plan. */
	trainers: z.array(nameSchema).readonly().default([]),
};

const grantFields = {
	plan: nameSchema,
	pool: nameSchema,
	/** Requests per second over the complete fleet. */
	requestsPerSecond: z.number().min(0).max(1_000_000),
	/** Generated tokens per second over the complete fleet, for engine pools. */
	tokensPerSecond: z.number().min(0).max(1_000_000_000).optional(),
	/** Size of the largest burst, in seconds of the rate. */
	burstSeconds: z.number().min(0.1).max(60).default(1),
};

const planSchema = z.strictObject(planFields);
const grantSchema = z.strictObject(grantFields);

/** The shape of the two lists as operators write them. `checkLists` also checks that plans and grants are unique, and that every grant names a listed plan. */
export const listsSchema = z.strictObject({
	plans: z.array(planSchema).readonly(),
	grants: z.array(grantSchema).readonly(),
}).readonly();

/** The shape of the lists as stored. Unknown fields are ignored, so that daemons of an older release can read lists of a newer one. */
export const storedListsSchema = z.object({
	plans: z.array(z.object(planFields)).readonly(),
	grants: z.array(z.object(grantFields)).readonly(),
}).readonly();

/** A customer's plan. */
export type Plan = z.output<typeof planSchema>;

/** The rates at which a plan may use a pool. */
export type Grant = z.output<typeof grantSchema>;

/** The two lists with defaults filled in. */
export type Lists = z.output<typeof listsSchema>;

/** The lists before the first write by an operator. */
export const emptyLists: Lists = {plans: [], grants: []};

/** The lists with the version of the store object that holds them; 0 before the first write. */
export type VersionedLists = {
	readonly version: number;
	readonly lists: Lists;
};
