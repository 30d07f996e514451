/**
 * The schema of a daemon's settings file. Every object is strict: an unknown key is an error, because with a misspelt key
 * the default would otherwise apply unnoticed. Durations are in milliseconds unless the name states another unit.
 */
import {z} from 'zod';
import {createServiceKey} from '../../kernel/common/contribution.js';

const name = z.string().regex(/^[a-z][a-z\d-]{0,62}$/, 'a name of lower-case letters, digits and hyphens');
const ipAddress = z.union([z.ipv4(), z.ipv6()], {error: 'an IPv4 or IPv6 address'});
const port = z.int().min(1).max(65_535);
const durationMs = z.int().min(1).max(86_400_000);
const share = z.number().min(0).max(1);
const baseUrl = z.url({protocol: /^https?$/, hostname: /^[\d.]+$|^\[[\da-f:]+]$/i, error: 'an http or https URL whose host is an IP number'});

/** A service that the daemon calls over HTTP; `kind` selects the adapter. */
const remote = z.strictObject({
	kind: z.string().default('http'),
	url: baseUrl,
	timeoutMs: durationMs.default(2000),
});

const daemon = z.strictObject({
	id: name,
	address: ipAddress,
	callerPort: port,
	peerPort: port,
	availabilityZone: name,
});

const availabilityZone = z.strictObject({name, region: name});

const seed = z.strictObject({address: ipAddress, peerPort: port});

const operation = z.strictObject({
	path: z.string().startsWith('/'),
	method: z.enum(['GET', 'POST', 'PUT', 'DELETE']).default('POST'),
	idempotent: z.boolean(),
});

const enginePool = z.strictObject({
	name,
	kind: z.literal('engine'),
	adapter: z.string().default('http'),
	/** Models, or adapters of one base model, that the engines serve at the same time; each has its own weight versions. */
	models: z.array(name).min(1).readonly(),
	/** Whether the engines of the pool reject orders with an old fencing number. */
	fencing: z.enum(['checked', 'ignored']),
	/** Streams that one engine runs concurrently; it queues further ones. */
	slots: z.int().min(1).max(4096).default(16),
});

const servicePool = z.strictObject({
	name,
	kind: z.literal('service'),
	adapter: z.string().default('http'),
	/** Calls that one backend server of the pool runs concurrently. */
	slots: z.int().min(1).max(4096).default(16),
	/** Operations that callers may use. An operation that is not listed is treated as not idempotent. */
	operations: z.array(operation).readonly().default([]),
});

const trainer = z.strictObject({
	name,
	/** The engine pool that generates the trainer's samples. */
	pool: name,
	/** The model that the trainer trains, which must be one of the pool's models. */
	model: name,
	/** The scoring service that scores samples before delivery; without it, samples have no score. */
	scoring: name.optional(),
	/** Maximum difference, in weight versions, between a delivered sample and the trainer's current version. */
	stalenessBound: z.int().min(0).max(1000),
});

const scoring = z.strictObject({
	name,
	kind: z.string().default('http'),
	url: baseUrl,
	timeoutMs: durationMs.default(5000),
});

const leases = z.strictObject({
	shards: z.int().min(1).max(1024).default(32),
	durationMs: durationMs.default(6000),
	renewMs: durationMs.default(2000),
	/** Time by which the holder shortens the duration, to allow for clocks that run at different rates. */
	marginMs: durationMs.default(1000),
});

const membership = z.strictObject({
	periodMs: durationMs.default(500),
	/** Peers contacted per period, independent of the size of the fleet. */
	fanout: z.int().min(1).max(16).default(2),
	suspectAfterMs: durationMs.default(2000),
	deadAfterMs: durationMs.default(6000),
});

const limits = z.strictObject({
	/** Time for which a daemon continues to use its share of a grant when it cannot renew it, such as during an outage of the store. */
	shareMs: durationMs.default(14_400_000),
	renewMs: durationMs.default(1000),
});

const requests = z.strictObject({
	deadlineMs: durationMs.default(30_000),
	maximumBodyBytes: z.int().min(1).max(64 * 1024 * 1024).default(1024 * 1024),
	maximumAttempts: z.int().min(1).max(10).default(3),
	/** Maximum number of retries as a share of first attempts. */
	retryShare: share.default(0.1),
	headerTimeoutMs: durationMs.default(10_000),
	drainMs: durationMs.default(60_000),
	/** Time for which the outcome of an idempotency key is kept; a request with the same key runs again after that. */
	claimRetentionMs: durationMs.default(86_400_000),
	/** Time within which the first byte of a claimed request must be sent. */
	claimWindowMs: durationMs.default(5000),
	/** Size above which a new claims object is started; every write of claims rewrites a complete object. */
	claimGenerationBytes: z.int().min(1024).max(900_000).default(65_536),
});

const weights = z.strictObject({
	/** Share of a pool's engines that may load new weights at the same time. */
	waveShare: share.default(0.34),
	/** Concurrent loads that the weight store sustains, over all pools. */
	concurrentLoads: z.int().min(1).max(4096).default(8),
	loadTimeoutMs: durationMs.default(20_000),
	/**
	 * Time after a publication for which an engine that is busy while a trainer waits may postpone its load, if
	 * `rollouts.measure` is `idle`. A higher value reduces idle time, but increases staleness and the time until all engines
	 * serve the new weights.
	 */
	deferralMs: z.int().min(0).max(3_600_000).default(0),
	pollMs: durationMs.default(500),
});

const rollouts = z.strictObject({
	/** The measure that is minimised when trainers compete for engines: idle time or staleness. */
	measure: z.enum(['idle', 'staleness']).default('idle'),
	stepDeadlineMs: durationMs.default(240_000),
	maximumBatch: z.int().min(1).max(4096).default(64),
	/** Time without a new token after which a stream is resumed on another engine. */
	stallMs: durationMs.default(3000),
});

const storage = z.strictObject({
	folder: z.string().min(1),
	snapshotMs: durationMs.default(5000),
});

const metrics = z.strictObject({
	host: ipAddress.default('127.0.0.1'),
	port: port.default(8125),
	prefix: z.string().default('rosemaryshore.'),
});

const log = z.strictObject({
	level: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
});

/** The complete settings file. */
export const settingsSchema = z.strictObject({
	$schema: z.string().optional(),
	daemon,
	availabilityZones: z.array(availabilityZone).min(1).readonly(),
	/** Daemons contacted first, in addition to those in the VM list. */
	seeds: z.array(seed).readonly().default([]),
	store: remote.extend({
		/** Calls per second that one daemon may make. */
		callsPerSecond: z.number().min(1).max(10_000).default(200),
	}),
	vmList: remote.extend({pollMs: durationMs.default(1000)}),
	weightStore: remote.optional(),
	pools: z.array(z.discriminatedUnion('kind', [enginePool, servicePool])).readonly(),
	scoring: z.array(scoring).readonly().default([]),
	trainers: z.array(trainer).readonly().default([]),
	/** SHA-256 digests of the keys that give access to the operators' API, lower-case hexadecimal. */
	operatorKeys: z.array(z.string().regex(/^[\da-f]{64}$/, 'a SHA-256 digest in lower-case hexadecimal')).readonly().default([]),
	leases: leases.prefault({}),
	membership: membership.prefault({}),
	limits: limits.prefault({}),
	requests: requests.prefault({}),
	weights: weights.prefault({}),
	rollouts: rollouts.prefault({}),
	/** Local persistent data; a daemon without it recovers its state from peers and the store. */
	storage: storage.optional(),
	metrics: metrics.optional(),
	log: log.prefault({}),
}).readonly();

/** The validated settings of one daemon, including defaults. */
export type Settings = z.output<typeof settingsSchema>;

/** A pool of backend servers of one kind. */
export type Pool = Settings['pools'][number];

/** A pool of model engines. */
export type EnginePool = Extract<Pool, {readonly kind: 'engine'}>;

/** A pool of plain services. */
export type ServicePool = Extract<Pool, {readonly kind: 'service'}>;

/** A trainer as the settings describe it. */
export type TrainerProfile = Settings['trainers'][number];

/** The daemon's settings, provided before any contribution starts. */
export const settingsKey = createServiceKey<Settings>('settings');

/** Returns the region of an availability zone, or undefined for a zone that the settings do not contain. */
export function regionOf(settings: Settings, zone: string): string | undefined {
	return settings.availabilityZones.find(candidate => candidate.name === zone)?.region;
}
