/**
 * Decides how many servers of a pool to order in each availability zone. A pool grows by a tenth when work has waited, and all of its
 * slots were taken, for longer than new servers need to boot; it shrinks by one server after a long time of little use. Otherwise it keeps its size: an order too many costs money for
 * as long as the server runs, and one too few costs the requests that wait while a server boots.
 */
import type {ScaleOrder} from './duties-api.js';
import type {PoolReading, ZoneReading} from './pool-reading.js';

/** How the call for an order ended, as far as the plan is concerned. */
export type OrderEnd
	/** The platform has answered; whether it carries the order out shows in the servers. */
	= | 'answered'
	/** No answer: the order may be carried out later, after newer ones. */
		| 'unknown'
	/** The call was not made, or the platform will not carry it out. */
		| 'notMade';

/** What a plan may do at a time. */
export type PlanLimits = {
	/** Time for which this daemon has held the duties, in milliseconds. */
	readonly heldForMs: number;
};

/** The plan of one daemon, with its memory of the orders it gave. */
export type ScalePlan = {
	/** Lists the orders that are due. */
	readonly plan: (readings: readonly PoolReading[], limits: PlanLimits, now: number) => readonly ScaleOrder[];
	/** Records how an order ended. */
	readonly recordEnd: (order: ScaleOrder, end: OrderEnd, now: number) => void;
	/** Forgets all orders and readings, as another daemon may give orders from now on, or the readings were interrupted. */
	readonly reset: () => void;
	/** Forgets for how long the pools have been used little, because a reading has failed. */
	readonly interrupt: () => void;
};

/** A new holder knows neither the servers that boot nor the load of the last seconds; until then it orders only for work that waits. */
const SETTLING_MS = 10_000;
/** Boot times for which work must wait before a pool grows: a step's items queue for seconds and are done before new servers have booted. */
const BOOT_TIMES_FULL = 2;
/** Share of the pool by which it grows at a time. New servers load all weights from a shared store, which slows the loads of the others. */
const GROWTH_SHARE = 0.1;
/** Share of the slots from which on all count as taken, because daemons are read one after another and slots change hands meanwhile. */
const FULL_SHARE = 0.95;
/** Below this share of used slots a pool is used little. */
const LOW_SHARE = 1 / 3;
/** Time of little use after which a server is released; longer than a trainer's pause between two steps usually takes. */
const LOW_MS = 30_000;
/** After a shrink there must be this many slots for each request that ran at a time meanwhile. */
const SLOTS_PER_REQUEST = 2;
/** Time beyond the boot time after which an order that shows no effect is repeated: entries of new servers arrive late. */
const EFFECT_MARGIN_MS = 5000;
/** Number of times that an order without effect is repeated. */
const MAXIMUM_REPEATS = 3;
/** Time after which a call without an answer has been carried out; the newest order is then repeated, in case an older one came after it. */
const LATE_CALL_MS = 6000;
/** Servers that were seen within this time count in the size that an order starts from, because entries may be missing for a moment. */
const RECENT_MS = 15_000;

/** The newest order of a zone. */
type GivenOrder = {
	readonly servers: number;
	readonly at: number;
	readonly repeats: number;
	/** When the zone last had this many servers. */
	readonly effectiveAt: number;
	/** Set while an earlier call may still be carried out. */
	readonly confirmAt: number | undefined;
};

type PoolMemory = {
	/** Time since which work has waited while all slots were taken, or since the last growth. */
	fullSince: number | undefined;
	lowSince: number | undefined;
	/** Largest number of requests at a time in each zone since then. */
	peakByZone: ReadonlyMap<string, number>;
	/** Sizes seen recently, by zone. */
	sizes: ReadonlyArray<{readonly zone: string; readonly servers: number; readonly at: number}>;
};

function sumOf(zones: readonly ZoneReading[], read: (zone: ZoneReading) => number): number {
	return zones.reduce((sum, zone) => sum + read(zone), 0);
}

/** Creates a plan without memory. */
export function createScalePlan(): ScalePlan {
	const memories = new Map<string, PoolMemory>();
	const orders = new Map<string, GivenOrder>();
	const keyOf = (pool: string, zone: string): string => `${pool}/${zone}`;

	function memoryOf(pool: string): PoolMemory {
		const memory = memories.get(pool) ?? {
			fullSince: undefined, lowSince: undefined, peakByZone: new Map<string, number>(), sizes: [],
		};
		memories.set(pool, memory);
		return memory;
	}

	function observe({pool, zones, waiting, isComplete}: PoolReading, memory: PoolMemory, now: number): void {
		memory.sizes = [...memory.sizes.filter(({at}) => now - at < RECENT_MS), ...zones.map(({zone, servers}) => ({zone, servers, at: now}))];
		const isLow = isComplete && waiting === 0 && zones.length > 0 && sumOf(zones, ({requests}) => requests) < LOW_SHARE * sumOf(zones, ({slots}) => slots);
		zones.forEach(({zone, servers}) => {
			const given = orders.get(keyOf(pool, zone));
			if (given?.servers === servers) {
				orders.set(keyOf(pool, zone), {...given, repeats: 0, effectiveAt: now});
			}
		});
		const hasSameSize = zones.every(({zone, servers}) => (orders.get(keyOf(pool, zone))?.servers ?? servers) === servers);
		if (!isLow || !hasSameSize) {
			memory.lowSince = undefined;
			memory.peakByZone = new Map();
			return;
		}

		memory.lowSince ??= now;
		memory.peakByZone = new Map(zones.map(({zone, requests}) => [zone, Math.max(requests, memory.peakByZone.get(zone) ?? 0)]));
	}

	/** Number of servers that a zone has or will have, by what was ordered and seen. */
	function sizeOf(pool: string, {zone, servers}: ZoneReading, memory: PoolMemory): number {
		const given = orders.get(keyOf(pool, zone));
		return given === undefined
			? Math.max(servers, ...memory.sizes.filter(size => size.zone === zone).map(size => size.servers))
			: Math.max(servers, given.servers);
	}

	/** Orders more servers where they are cheapest, for the work that those already ordered will not take. */
	function grow({pool, scale, zones, waiting}: PoolReading, memory: PoolMemory, now: number): readonly ScaleOrder[] {
		const servers = sumOf(zones, zone => zone.servers);
		const slots = sumOf(zones, zone => zone.slots);
		const slotsPerServer = servers === 0 ? 0 : slots / servers;
		const isFull = waiting > 0 && slots > 0 && sumOf(zones, zone => Math.min(zone.requests, zone.slots)) >= FULL_SHARE * slots;
		memory.fullSince = isFull ? memory.fullSince ?? now : undefined;
		if (memory.fullSince === undefined || now - memory.fullSince < BOOT_TIMES_FULL * scale.bootMs) {
			return [];
		}

		const sizes = zones.map(zone => ({zone: zone.zone, size: sizeOf(pool, zone, memory)}));
		const coming = sizes.reduce((sum, {size}) => sum + size, 0) - servers;
		const wanted = Math.min(Math.ceil(GROWTH_SHARE * servers), Math.ceil(waiting / slotsPerServer)) - coming;
		const cheapestFirst = sizes.toSorted((a, b) => (scale.priceByZone[a.zone] ?? 1) - (scale.priceByZone[b.zone] ?? 1) || a.size - b.size);
		return cheapestFirst.reduce<{readonly left: number; readonly list: readonly ScaleOrder[]}>(({left, list}, {zone, size}) => {
			const added = Math.min(left, scale.maximum - size);
			return added > 0 ? {left: left - added, list: [...list, {pool, zone, servers: Math.max(scale.minimum, size + added)}]} : {left, list};
		}, {left: wanted, list: []}).list;
	}

	/** Orders one server fewer where it is dearest and the rest can take twice what has run at a time. */
	function shrink({pool, scale, zones}: PoolReading, memory: PoolMemory, now: number): readonly ScaleOrder[] {
		if (memory.lowSince === undefined || now - memory.lowSince < LOW_MS) {
			return [];
		}

		const requests = [...memory.peakByZone.values()].reduce((sum, peak) => sum + peak, 0);
		const slots = sumOf(zones, zone => zone.slots);
		const [dearest] = zones
			.filter(zone => {
				const left = zone.slots * (1 - (1 / zone.servers));
				return zone.servers > Math.max(1, scale.minimum)
					&& zone.servers - 1 <= scale.maximum
					&& left >= SLOTS_PER_REQUEST * (memory.peakByZone.get(zone.zone) ?? 0)
					&& slots - (zone.slots / zone.servers) >= SLOTS_PER_REQUEST * requests;
			})
			.toSorted((a, b) => (scale.priceByZone[b.zone] ?? 1) - (scale.priceByZone[a.zone] ?? 1) || b.servers - a.servers);
		return dearest === undefined ? [] : [{pool, zone: dearest.zone, servers: dearest.servers - 1}];
	}

	/** Repeats orders that show no effect in time, and those that an older call may have followed. */
	function repeat({pool, scale, zones}: PoolReading, now: number): readonly ScaleOrder[] {
		return zones.flatMap(({zone, servers}) => {
			const key = keyOf(pool, zone);
			const given = orders.get(key);
			if (given === undefined) {
				return [];
			}

			const isWithoutEffect = servers !== given.servers && now - Math.max(given.at, given.effectiveAt) >= scale.bootMs + EFFECT_MARGIN_MS;
			if (isWithoutEffect && given.repeats >= MAXIMUM_REPEATS) {
				// The platform can't carry it out; the present size counts again.
				orders.delete(key);
				return [];
			}

			const mustConfirm = given.confirmAt !== undefined && now >= given.confirmAt;
			const isWithin = given.servers >= scale.minimum && given.servers <= scale.maximum;
			return (isWithoutEffect || mustConfirm) && isWithin ? [{pool, zone, servers: given.servers}] : [];
		});
	}

	return {
		plan(readings, {heldForMs}, now) {
			return readings.flatMap(reading => {
				const memory = memoryOf(reading.pool);
				observe(reading, memory, now);
				const larger = grow(reading, memory, now);
				if (larger.length > 0 || heldForMs < SETTLING_MS) {
					return larger;
				}

				const repeated = repeat(reading, now);
				return repeated.length > 0 ? repeated : shrink(reading, memory, now);
			});
		},
		recordEnd({pool, zone, servers}, end, now) {
			if (end === 'notMade') {
				return;
			}

			const key = keyOf(pool, zone);
			const before = orders.get(key);
			const memory = memoryOf(pool);
			// The next server is ordered or released after another whole period only.
			memory.fullSince = undefined;
			memory.lowSince = undefined;
			memory.peakByZone = new Map();
			const stillOpen = before?.confirmAt !== undefined && now < before.confirmAt ? before.confirmAt : undefined;
			orders.set(key, {
				servers, at: now, effectiveAt: now, repeats: before?.servers === servers ? before.repeats + 1 : 0, confirmAt: end === 'unknown' ? now + LATE_CALL_MS : stillOpen,
			});
		},
		reset() {
			memories.clear();
			orders.clear();
		},
		interrupt() {
			memories.forEach(memory => {
				memory.lowSince = undefined;
				memory.fullSince = undefined;
			});
		},
	};
}
