/**
 * The schema of a daemon's settings file. Every object is strict: an unknown key is an error, because a misspelt key
 * would otherwise leave a default silently in force. Durations are milliseconds unless the name says otherwise.
 */
import {z} from 'zod';
import {createServiceKey} from '../../kernel/common/contribution.js';

const name = z.string().regex(/^[a-z][a-z\d-]{0,62}$/, 'a name of lower-case letters, digits and hyphens');
const ipAddress = z.union([z.ipv4(), z.ipv6()], {error: 'an IPv4 or IPv6 address'});
const port = z.int().min(1).max(65_535);
const durationMs = z.int().min(1).max(86_400_000);
const share = z.number().min(0).max(1);
const baseUrl = z.url({protocol: /^https?$/, hostname: /^[\d.]+$|^\[[\da-f:]+]$/i, error: 'an http or https URL whose host is an IP number'});

/** A peer reached over HTTP; `kind` selects the adapter. */
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
	/** Models, or adapters of one base model, that the engines serve side by side; each has its own weight versions. */
	models: z.array(name).min(1).readonly(),
	/** Whether the engines of the pool refuse orders with an old fencing number. */
	fencing: z.enum(['checked', 'ignored']),
	/** Streams that one engine runs at once before it queues. */
	slots: z.int().min(1).max(4096).default(16),
});

const servicePool = z.strictObject({
	name,
	kind: z.literal('service'),
	adapter: z.string().default('http'),
	/** Calls that one worker runs at once. */
	slots: z.int().min(1).max(4096).default(16),
	/** Operations that callers may use. One that is not listed is treated as non-idempotent. */
	operations: z.array(operation).readonly().default([]),
});

const trainer = z.strictObject({
	name,
	/** The engine pool that generates the trainer's samples. */
	pool: name,
	/** The model that the trainer trains; one of the pool's. */
	model: name,
	/** The scoring service that rates samples before delivery; none leaves them unrated. */
	scoring: name.optional(),
	/** The greatest allowed distance, in weight versions, between a delivered sample and the trainer's own version. */
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
	/** Subtracted from the duration by the holder, to cover clocks that run at different rates. */
	marginMs: durationMs.default(1000),
});

const membership = z.strictObject({
	periodMs: durationMs.default(500),
	/** Peers contacted per period, whatever the size of the fleet. */
	fanout: z.int().min(1).max(16).default(2),
	suspectAfterMs: durationMs.default(2000),
	deadAfterMs: durationMs.default(6000),
});

const limits = z.strictObject({
	/** How long a daemon goes on with its share of a grant when it cannot renew it, such as in an outage of the store. */
	shareMs: durationMs.default(14_400_000),
	renewMs: durationMs.default(1000),
});

const requests = z.strictObject({
	deadlineMs: durationMs.default(30_000),
	maximumBodyBytes: z.int().min(1).max(64 * 1024 * 1024).default(1024 * 1024),
	maximumAttempts: z.int().min(1).max(10).default(3),
	/** Retries allowed as a share of first attempts. */
	retryShare: share.default(0.1),
	headerTimeoutMs: durationMs.default(10_000),
	drainMs: durationMs.default(60_000),
	/** How long the outcome of an idempotency key is remembered; a key sent again later runs again. */
	claimRetentionMs: durationMs.default(86_400_000),
	/** Time within which the first byte of a claimed request must leave. */
	claimWindowMs: durationMs.default(5000),
	/** Size of one claims object; each write of claims rewrites one. */
	claimGenerationBytes: z.int().min(1024).max(900_000).default(65_536),
});

const weights = z.strictObject({
	/** Share of a pool's engines that may load new weights at once. */
	waveShare: share.default(0.34),
	/** Loads that the weight store sustains at once, over all pools. */
	concurrentLoads: z.int().min(1).max(4096).default(8),
	loadTimeoutMs: durationMs.default(20_000),
	/**
	 * Time after a publication for which an engine that is busy while a trainer waits may put off its load, where
	 * `rollouts.measure` is `idle`. Longer lowers idle time, and raises staleness and the time until all engines serve the weights.
	 */
	deferralMs: z.int().min(0).max(3_600_000).default(0),
	pollMs: durationMs.default(500),
});

const rollouts = z.strictObject({
	/** Which of the users' two measures is lowered when trainers compete for engines. */
	measure: z.enum(['idle', 'staleness']).default('idle'),
	stepDeadlineMs: durationMs.default(240_000),
	maximumBatch: z.int().min(1).max(4096).default(64),
	/** A stream without a new token for this long is resumed on another engine. */
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

/** The whole settings file. */
export const settingsSchema = z.strictObject({
	$schema: z.string().optional(),
	daemon,
	availabilityZones: z.array(availabilityZone).min(1).readonly(),
	/** Daemons contacted first. The VM list adds to them. */
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
	/** Local durable data; a daemon without it recovers from peers and the store. */
	storage: storage.optional(),
	metrics: metrics.optional(),
	log: log.prefault({}),
}).readonly();

/** Checked settings of one daemon, defaults filled in. */
export type Settings = z.output<typeof settingsSchema>;

/** A pool of backend servers of one kind. */
export type Pool = Settings['pools'][number];

/** A pool of model engines. */
export type EnginePool = Extract<Pool, {readonly kind: 'engine'}>;

/** A pool of plain services. */
export type ServicePool = Extract<Pool, {readonly kind: 'service'}>;

/** A trainer as settings describe it. */
export type TrainerProfile = Settings['trainers'][number];

/** The daemon's settings, provided before any contribution starts. */
export const settingsKey = createServiceKey<Settings>('settings');

/** Returns the region of an availability zone, or undefined for a zone that settings do not name. */
export function regionOf(settings: Settings, zone: string): string | undefined {
	return settings.availabilityZones.find(candidate => candidate.name === zone)?.region;
}
