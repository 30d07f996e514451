/**
 * Decides which engines of a pool to read, and which engines to order to load which version. Loads are ordered in waves, so
 * that most engines continue to serve and the weight store is not overloaded. Every order is verified by reading the engine's
 * status. An engine that serves a version that was not ordered is not usable until it has loaded the right one.
 */
import type {EngineStatus, ModelStatus} from '../../adapters/common/engine.js';
import type {EngineVersion} from './engine-versions.js';
import type {Target} from './target-store.js';

/** Limits of the loads in one pool. */
export type WaveLimits = {
	/** Share of the engines that may load at the same time, from 0 to 1. */
	readonly waveShare: number;
	/** Number of concurrent loads that the weight store sustains for this pool. */
	readonly concurrentLoads: number;
	/** A load that takes longer counts as failed. */
	readonly loadTimeoutMs: number;
	/** Interval between status reads of an engine that is loading. */
	readonly pollMs: number;
	/** Returns the number of versions that a needed engine may be behind a model's target while its load is deferred. */
	readonly toleratedLag: (model: string) => number;
	/** Maximum time after the increase of a target for which loads are deferred. */
	readonly deferralMs: number;
};

/** A load to order. */
export type LoadOrder = {
	readonly serverId: string;
	readonly model: string;
	readonly version: number;
	/** The version that the engine last reported; 0 when unknown. */
	readonly fromVersion: number;
};

/** The engines whose status to read, by id, and the loads to order now. */
export type WaveActions = {
	readonly reads: readonly string[];
	readonly orders: readonly LoadOrder[];
};

/** Tracks the versions of a pool's engines and derives the orders from them. */
export type WaveDecider = {
	/** Replaces the engines of the pool; the list must not include leaving ones. */
	readonly setEngines: (serverIds: readonly string[]) => void;
	/** Raises targets; a lower one is ignored. */
	readonly setTargets: (targets: readonly Target[]) => void;
	/**
	 * Returns the due reads and orders, and records them as started. Loads of engines that are needed now are deferred as
	 * far as the limits allow. Without `canOrder` there are no orders.
	 */
	readonly decide: (now: number, canOrder: boolean, isNeeded: (serverId: string) => boolean) => WaveActions;
	readonly recordStatus: (serverId: string, status: EngineStatus, now: number) => void;
	/** Records that an engine's status could not be read. */
	readonly recordUnreadable: (serverId: string, now: number) => void;
	/** Records that an engine has accepted an order; a status read that starts later must show its effect. */
	readonly recordAccepted: (order: LoadOrder, now: number) => void;
	/** Records that an order was refused or not sent. */
	readonly recordRefused: (order: LoadOrder, now: number) => void;
	readonly versions: (model: string) => readonly EngineVersion[];
	readonly target: (model: string) => number;
	/** Returns the number of loads that are running or whose outcome is unknown. */
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
	/** Start of the running status read; undefined when none is running. */
	readonly readingSince: number | undefined;
	readonly models: ReadonlyMap<string, ModelStatus>;
	/** The expected version per model that a status read has confirmed. */
	readonly confirmed: ReadonlyMap<string, number>;
	readonly load: Load | undefined;
	readonly failures: number;
	readonly notBefore: number;
};

/** Status reads per second of engines that are not loading; limits the control traffic of an owner of 1,100 engines. */
const MAXIMUM_READS_PER_SECOND = 20;
const INITIAL_BACKOFF_MS = 500;

const unreadEngine: EngineRecord = {
	readAt: Number.NEGATIVE_INFINITY, readingSince: undefined, models: new Map(), confirmed: new Map(), load: undefined, failures: 0, notBefore: 0,
};

/** Creates a decider for one pool. */
export function createWaveDecider(limits: WaveLimits): WaveDecider {
	const engines = new Map<string, EngineRecord>();
	const targets = new Map<string, number>();
	const raiseByModel = new Map<string, {readonly version: number; readonly at: number}>();

	function update(serverId: string, change: Partial<EngineRecord>): void {
		engines.set(serverId, {...(engines.get(serverId) ?? unreadEngine), ...change});
	}

	function readPeriodMs(record: EngineRecord): number {
		return record.load === undefined ? Math.max(limits.pollMs, engines.size * 1000 / MAXIMUM_READS_PER_SECOND) : limits.pollMs;
	}

	function maximumLoads(): number {
		return Math.max(1, Math.min(limits.concurrentLoads, Math.floor(limits.waveShare * engines.size)));
	}

	function countLoading(): number {
		return [...engines.values()].filter(record => record.load !== undefined).length;
	}

	function recordRaises(now: number): void {
		[...targets].filter(([model, version]) => raiseByModel.get(model)?.version !== version).forEach(([model, version]) => {
			raiseByModel.set(model, {version, at: now});
		});
	}

	/** Whether a load may be deferred: the lag of the engine is tolerated, and the target increased less than `deferralMs` ago. */
	function canDefer(serverId: string, target: Target, now: number): boolean {
		const version = engines.get(serverId)?.models.get(target.model)?.version ?? 0;
		const lag = target.version - version;
		const raisedAt = raiseByModel.get(target.model)?.at ?? now;
		return isUsable(serverId, target.model) && lag > 0 && lag <= limits.toleratedLag(target.model) && now - raisedAt < limits.deferralMs;
	}

	function listOutdated(record: EngineRecord): readonly Target[] {
		return [...targets]
			.map(([model, version]) => ({model, version}))
			.filter(target => {
				const status = record.models.get(target.model);
				return status?.version !== target.version || status.state === 'failed';
			});
	}

	function chooseOrders(now: number, isNeeded: (serverId: string) => boolean): readonly LoadOrder[] {
		const availableLoads = Math.max(0, maximumLoads() - countLoading());
		return [...engines]
			.filter(([, record]) => record.load === undefined && record.notBefore <= now && record.readAt >= 0)
			.flatMap(([serverId, record]) => {
				const isNeededNow = isNeeded(serverId);
				const target = listOutdated(record).find(candidate => !isNeededNow || !canDefer(serverId, candidate, now));
				const fromVersion = target && (record.models.get(target.model)?.version ?? 0);
				return target === undefined || fromVersion === undefined ? [] : [{serverId, fromVersion, ...target}];
			})
			// Unusable engines first, because loading them takes no serving capacity away.
			.toSorted((a, b) => Number(isUsable(a.serverId, a.model)) - Number(isUsable(b.serverId, b.model)) || a.fromVersion - b.fromVersion)
			.slice(0, availableLoads);
	}

	function isUsable(serverId: string, model: string): boolean {
		const record = engines.get(serverId);
		const status = record?.models.get(model);
		return status?.state === 'serving' && status.version > 0 && status.version === record?.confirmed.get(model);
	}

	/**
	 * Returns the confirmed version after a status read. A version is expected when it was confirmed before, was ordered, or is
	 * the target. The first read version is expected unless it is above a published target.
	 */
	function confirmVersion(record: EngineRecord, status: ModelStatus): number | undefined {
		const known = record.confirmed.get(status.model);
		const target = targets.get(status.model) ?? 0;
		const ordered = record.load?.model === status.model ? record.load.version : undefined;
		const isExpected = known === undefined ? target === 0 || status.version <= target : [known, ordered, target].includes(status.version);
		return isExpected ? status.version : known;
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

		const isExpired = now - load.since >= limits.loadTimeoutMs;
		// An engine that accepted an order but does not load has lost the order, for example by a restart.
		const isOrderLost = found?.state === 'serving' && load.acceptedAt !== undefined && (record.readingSince ?? 0) > load.acceptedAt;
		return found?.state === 'failed' || isExpired || isOrderLost ? afterFailedLoad(record, now) : {load, failures, notBefore};
	}

	function afterFailedLoad(record: EngineRecord, now: number): Pick<EngineRecord, 'load' | 'failures' | 'notBefore'> {
		const backoffMs = Math.min(limits.loadTimeoutMs, INITIAL_BACKOFF_MS * (2 ** record.failures));
		return {load: undefined, failures: record.failures + 1, notBefore: now + backoffMs};
	}

	return {
		setEngines(serverIds) {
			const presentIds = new Set(serverIds);
			[...engines.keys()].filter(id => !presentIds.has(id)).forEach(id => {
				engines.delete(id);
			});
			serverIds.filter(id => !engines.has(id)).forEach(id => {
				engines.set(id, unreadEngine);
			});
		},
		setTargets(newTargets) {
			newTargets.forEach(target => {
				targets.set(target.model, Math.max(target.version, targets.get(target.model) ?? 0));
			});
		},
		decide(now, canOrder, isNeeded) {
			recordRaises(now);
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
		recordStatus(serverId, status, now) {
			const record = engines.get(serverId);
			if (record === undefined) {
				return;
			}

			const confirmed = status.models.map(model => [model.model, confirmVersion(record, model)] as const);
			update(serverId, {
				readAt: now,
				readingSince: undefined,
				models: new Map(status.models.map(model => [model.model, model])),
				confirmed: new Map(confirmed.flatMap(([model, version]) => version === undefined ? [] : [[model, version]])),
				...settleLoad(record, status, now),
			});
		},
		recordUnreadable(serverId, now) {
			const record = engines.get(serverId);
			if (record === undefined) {
				return;
			}

			const isExpired = record.load !== undefined && now - record.load.since >= limits.loadTimeoutMs;
			update(serverId, {
				readAt: now, readingSince: undefined, models: new Map(), ...(isExpired && afterFailedLoad(record, now)),
			});
		},
		recordAccepted(order, now) {
			const load = engines.get(order.serverId)?.load;
			if (load !== undefined) {
				update(order.serverId, {load: {...load, acceptedAt: now}});
			}
		},
		recordRefused(order, now) {
			const record = engines.get(order.serverId);
			if (record !== undefined) {
				update(order.serverId, afterFailedLoad(record, now));
			}
		},
		versions: model => [...engines].map(([serverId, record]) => ({
			serverId, version: record.models.get(model)?.version ?? 0, usable: isUsable(serverId, model),
		})),
		target: model => targets.get(model) ?? 0,
		loading: countLoading,
	};
}
