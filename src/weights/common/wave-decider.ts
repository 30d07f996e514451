/**
 * Decides which engines of a pool are read, and which are ordered to load which version. Orders go out in waves, so that
 * most engines keep serving and the weight store's rate is kept; every order is verified by reading the engine back, and
 * an engine that serves anything that was not ordered is not usable until it has been put right.
 */
import type {EngineStatus, ModelStatus} from '../../adapters/common/engine.js';
import type {EngineVersion} from './engine-versions.js';
import type {Target} from './target-keeper.js';

/** Limits of the waves of one pool. */
export type WaveLimits = {
	/** Share of the engines that may load at once. */
	readonly waveShare: number;
	/** Loads at once that the weight store sustains for this pool. */
	readonly concurrentLoads: number;
	/** A load that takes longer has failed. */
	readonly loadTimeoutMs: number;
	/** Wait between two reads of an engine that is loading. */
	readonly pollMs: number;
	/** Versions that a needed engine may lie behind a model's target while its load is put off. */
	readonly toleratedLag: (model: string) => number;
	/** Longest time after the rise of a target for which loads are put off. */
	readonly deferralMs: number;
};

/** A load to order. */
export type LoadOrder = {
	readonly serverId: string;
	readonly model: string;
	readonly version: number;
	/** The version that the engine reported last; 0 when unknown. */
	readonly fromVersion: number;
};

/** What to do now. */
export type WaveActions = {
	readonly reads: readonly string[];
	readonly orders: readonly LoadOrder[];
};

/** The versions that a pool's owner knows, and the orders that follow from them. */
export type WaveDecider = {
	/** Replaces the engines of the pool; leaving ones are not to be named. */
	readonly setEngines: (serverIds: readonly string[]) => void;
	/** Raises targets; a lower one is ignored. */
	readonly setTargets: (targets: readonly Target[]) => void;
	/**
	 * Returns the reads and orders that are due, and counts them as given. Loads of engines that are needed at the moment
	 * are put off as far as the limits allow.
	 */
	readonly decide: (now: number, canOrder: boolean, isNeeded: (serverId: string) => boolean) => WaveActions;
	readonly noteStatus: (serverId: string, status: EngineStatus, now: number) => void;
	/** Notes that an engine could not be read. */
	readonly noteUnreadable: (serverId: string, now: number) => void;
	/** Notes that an engine has accepted an order; a reading that starts later must show its effect. */
	readonly noteAccepted: (order: LoadOrder, now: number) => void;
	/** Notes that an order was refused or never left. */
	readonly noteRefused: (order: LoadOrder, now: number) => void;
	readonly versions: (model: string) => readonly EngineVersion[];
	readonly target: (model: string) => number;
	/** Loads that are under way or in doubt. */
	readonly loading: () => number;
};

type Load = {
	readonly model: string;
	readonly version: number;
	readonly since: number;
	readonly acceptedAt: number | undefined;
};

type EngineRecord = {
	readonly readAt: number;
	/** When the reading under way began; undefined when there is none. */
	readonly readingSince: number | undefined;
	readonly models: ReadonlyMap<string, ModelStatus>;
	/** The versions that a reading has confirmed, per model. */
	readonly confirmed: ReadonlyMap<string, number>;
	readonly load: Load | undefined;
	readonly failures: number;
	readonly notBefore: number;
};

/** Status reads per second that keep an owner of 1,100 engines within its bytes for control. */
const READS_PER_SECOND = 20;
const FIRST_BACKOFF_MS = 500;

const unread: EngineRecord = {
	readAt: Number.NEGATIVE_INFINITY, readingSince: undefined, models: new Map(), confirmed: new Map(), load: undefined, failures: 0, notBefore: 0,
};

/** Creates a decider for one pool. */
export function createWaveDecider(limits: WaveLimits): WaveDecider {
	const engines = new Map<string, EngineRecord>();
	const targets = new Map<string, number>();
	const risenAt = new Map<string, {readonly version: number; readonly at: number}>();

	function update(serverId: string, change: Partial<EngineRecord>): void {
		engines.set(serverId, {...(engines.get(serverId) ?? unread), ...change});
	}

	function readPeriodMs(record: EngineRecord): number {
		return record.load === undefined ? Math.max(limits.pollMs, engines.size * 1000 / READS_PER_SECOND) : limits.pollMs;
	}

	function loadsAllowed(): number {
		return Math.max(1, Math.min(limits.concurrentLoads, Math.floor(limits.waveShare * engines.size)));
	}

	function countLoading(): number {
		return [...engines.values()].filter(record => record.load !== undefined).length;
	}

	function noteRises(now: number): void {
		[...targets].filter(([model, version]) => risenAt.get(model)?.version !== version).forEach(([model, version]) => {
			risenAt.set(model, {version, at: now});
		});
	}

	/** Whether a load may wait: the engine serves a version that is good enough, and the target rose not long ago. */
	function canWait(serverId: string, target: Target, now: number): boolean {
		const version = engines.get(serverId)?.models.get(target.model)?.version ?? 0;
		const lag = target.version - version;
		const risen = risenAt.get(target.model)?.at ?? now;
		return isUsable(serverId, target.model) && lag > 0 && lag <= limits.toleratedLag(target.model) && now - risen < limits.deferralMs;
	}

	function wants(record: EngineRecord): readonly Target[] {
		return [...targets]
			.map(([model, version]) => ({model, version}))
			.filter(target => {
				const status = record.models.get(target.model);
				return status?.version !== target.version || status.state === 'failed';
			});
	}

	function chooseOrders(now: number, isNeeded: (serverId: string) => boolean): readonly LoadOrder[] {
		const room = Math.max(0, loadsAllowed() - countLoading());
		return [...engines]
			.filter(([, record]) => record.load === undefined && record.notBefore <= now && record.readAt >= 0)
			.flatMap(([serverId, record]) => {
				const isPutOff = isNeeded(serverId);
				const target = wants(record).find(wanted => !isPutOff || !canWait(serverId, wanted, now));
				const fromVersion = target && (record.models.get(target.model)?.version ?? 0);
				return target === undefined || fromVersion === undefined ? [] : [{serverId, fromVersion, ...target}];
			})
			// Engines that serve nothing useful first: loading them takes no capacity away.
			.toSorted((a, b) => Number(isUsable(a.serverId, a.model)) - Number(isUsable(b.serverId, b.model)) || a.fromVersion - b.fromVersion)
			.slice(0, room);
	}

	function isUsable(serverId: string, model: string): boolean {
		const record = engines.get(serverId);
		const status = record?.models.get(model);
		return status?.state === 'serving' && status.version > 0 && status.version === record?.confirmed.get(model);
	}

	/** A version is expected when it was read before, was ordered, or is the target; a first reading counts unless it is above a published target. */
	function confirm(record: EngineRecord, status: ModelStatus): number | undefined {
		const known = record.confirmed.get(status.model);
		const target = targets.get(status.model) ?? 0;
		const ordered = record.load?.model === status.model ? record.load.version : undefined;
		const expected = known === undefined ? target === 0 || status.version <= target : [known, ordered, target].includes(status.version);
		return expected ? status.version : known;
	}

	function settleLoad(record: EngineRecord, status: EngineStatus, now: number): Pick<EngineRecord, 'load' | 'failures' | 'notBefore'> {
		const {load, failures, notBefore} = record;
		if (load === undefined) {
			return {load, failures, notBefore};
		}

		const found = status.models.find(candidate => candidate.model === load.model);
		if (found?.version === load.version && found.state === 'serving') {
			return {load: undefined, failures: 0, notBefore};
		}

		const expired = now - load.since >= limits.loadTimeoutMs;
		// An engine that accepted an order and no longer loads has lost it, such as by a restart.
		const isLost = found?.state === 'serving' && load.acceptedAt !== undefined && (record.readingSince ?? 0) > load.acceptedAt;
		return found?.state === 'failed' || expired || isLost ? fail(record, now) : {load, failures, notBefore};
	}

	function fail(record: EngineRecord, now: number): Pick<EngineRecord, 'load' | 'failures' | 'notBefore'> {
		const backoffMs = Math.min(limits.loadTimeoutMs, FIRST_BACKOFF_MS * (2 ** record.failures));
		return {load: undefined, failures: record.failures + 1, notBefore: now + backoffMs};
	}

	return {
		setEngines(serverIds) {
			const present = new Set(serverIds);
			[...engines.keys()].filter(id => !present.has(id)).forEach(id => {
				engines.delete(id);
			});
			serverIds.filter(id => !engines.has(id)).forEach(id => {
				engines.set(id, unread);
			});
		},
		setTargets(given) {
			given.forEach(target => {
				targets.set(target.model, Math.max(target.version, targets.get(target.model) ?? 0));
			});
		},
		decide(now, canOrder, isNeeded) {
			noteRises(now);
			const orders = canOrder ? chooseOrders(now, isNeeded) : [];
			orders.forEach(({serverId, model, version}) => {
				update(serverId, {
					load: {
						model, version, since: now, acceptedAt: undefined,
					},
				});
			});
			const reads = [...engines]
				.filter(([, record]) => record.readingSince === undefined && record.readAt + readPeriodMs(record) <= now)
				.map(([serverId]) => serverId);
			reads.forEach(serverId => {
				update(serverId, {readingSince: now});
			});
			return {reads, orders};
		},
		noteStatus(serverId, status, now) {
			const record = engines.get(serverId);
			if (record === undefined) {
				return;
			}

			const confirmed = status.models.map(model => [model.model, confirm(record, model)] as const);
			update(serverId, {
				readAt: now,
				readingSince: undefined,
				models: new Map(status.models.map(model => [model.model, model])),
				confirmed: new Map(confirmed.flatMap(([model, version]) => version === undefined ? [] : [[model, version]])),
				...settleLoad(record, status, now),
			});
		},
		noteUnreadable(serverId, now) {
			const record = engines.get(serverId);
			if (record === undefined) {
				return;
			}

			const expired = record.load !== undefined && now - record.load.since >= limits.loadTimeoutMs;
			update(serverId, {
				readAt: now, readingSince: undefined, models: new Map(), ...(expired && fail(record, now)),
			});
		},
		noteAccepted(order, now) {
			const load = engines.get(order.serverId)?.load;
			if (load !== undefined) {
				update(order.serverId, {load: {...load, acceptedAt: now}});
			}
		},
		noteRefused(order, now) {
			const record = engines.get(order.serverId);
			if (record !== undefined) {
				update(order.serverId, fail(record, now));
			}
		},
		versions: model => [...engines].map(([serverId, record]) => ({
			serverId, version: record.models.get(model)?.version ?? 0, usable: isUsable(serverId, model),
		})),
		target: model => targets.get(model) ?? 0,
		loading: countLoading,
	};
}
