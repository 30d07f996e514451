/**
 * The owner's records of the shares of one shard's grants. A share is granted to its holder only after a durable write has
 * reserved it. What a holder may still use stays reserved until the holder reports less, a later run of the holder is seen,
 * or the share has expired, whether or not the holder is reachable.
 */
import {z} from 'zod';
import {divideGrant} from './share-division.js';

/** A holder's report on one grant. */
export type HolderReport = {
	/** Name of the grant, made of plan and pool. */
	readonly grant: string;
	/** The fraction of the grant that the holder currently uses. */
	readonly fraction: number;
	readonly demand: number;
};

/** A renewal of all shares that a daemon holds in one shard. */
export type Renewal = {
	readonly daemonId: string;
	/** Increases with every start of the daemon. */
	readonly run: number;
	/** Increases with every renewal of the run, so that a delayed renewal is recognized as outdated. */
	readonly sequence: number;
	readonly reports: readonly HolderReport[];
};

/** A share as granted to its holder. */
export type GrantedShare = {
	readonly grant: string;
	readonly fraction: number;
};

const shareRecordSchema = z.object({
	grants: z.record(z.string(), z.record(z.string(), z.object({run: z.number(), fraction: z.number()}))),
});

/** The value of a stored `grants` object: the reserved fraction by grant and daemon. */
export type ShareRecord = z.output<typeof shareRecordSchema>;

/** The shares of one shard's grants. */
export type ShareLedger = {
	/** Loads a stored record; all of its shares count as in use from `now` on. */
	readonly load: (value: string, now: number) => void;
	/** Applies a renewal and returns the shares that its holder may use from now on; empty for an outdated renewal. */
	readonly renew: (renewal: Renewal, now: number) => readonly GrantedShare[];
	/** Divides the grants again. Returns the record that must be written before raised shares are granted, or undefined without a raise. */
	readonly plan: (now: number) => ShareRecord | undefined;
	/** Confirms that the record of the last plan is durable. */
	readonly written: (value: ShareRecord) => void;
	/** Releases all shares of a daemon; only for a daemon that certainly no longer runs. */
	readonly removeHolder: (daemonId: string) => void;
	/** Holders that have not renewed for `SILENT_AFTER_MS`. */
	readonly silent: (now: number) => readonly string[];
};

type Holding = {
	/** The largest fraction that the holder may be using. */
	ceiling: number;
	/** The fraction that the division assigns to the holder. */
	target: number;
	/** The fraction that the stored record reserves for the holder. */
	reserved: number;
	/** The fraction that the pending write reserves for the holder. */
	planned: number;
	demand: number;
	reportedAt: number;
};

type Holder = {
	run: number;
	/** Undefined until the first renewal after the store was read; that one may be older than renewals sent to an earlier owner. */
	sequence: number | undefined;
	renewedAt: number;
	readonly holdings: Map<string, Holding>;
};

type GrantHolding = {
	readonly daemonId: string;
	readonly holder: Holder;
	readonly holding: Holding;
};

/** Holders that have been silent for longer keep their shares, but are left out of the division. */
const SILENT_AFTER_MS = 4500;
/** Smaller changes of a share are not written, unless its demand is unmet. */
const MINIMUM_CHANGE_FRACTION = 0.01;
/** Factor by which a share below its demand must grow to be written. */
const MINIMUM_RAISE_FACTOR = 1.1;
/** Demand that was not reported for this long counts as none. */
const DEMAND_EXPIRY_MS = 8000;
/** Differences up to this fraction are rounding errors. */
const NEGLIGIBLE_FRACTION = 1e-9;

/** Parses the value of a `grants` object; an empty string is a record without shares. Throws on a value of another shape. */
export function parseShareRecord(value: string): ShareRecord {
	return value === '' ? {grants: {}} : shareRecordSchema.parse(JSON.parse(value));
}

function getOrCreate<T>(known: Map<string, T>, key: string, create: () => T): T {
	const found = known.get(key) ?? create();
	known.set(key, found);
	return found;
}

/** Creates a ledger without shares. A share expires `ttlMs` after its last renewal; `ttlMs` includes the margin for clock rates. */
export function createShareLedger(ttlMs: number): ShareLedger {
	const holders = new Map<string, Holder>();

	function holderOf(daemonId: string, run: number, now: number): Holder {
		return getOrCreate(holders, daemonId, () => ({
			run, sequence: undefined, renewedAt: now, holdings: new Map(),
		}));
	}

	function holdingOf(holder: Holder, grant: string, now: number): Holding {
		return getOrCreate(holder.holdings, grant, () => ({
			ceiling: 0, target: 0, reserved: 0, planned: 0, demand: 0, reportedAt: now,
		}));
	}

	/** A higher run shows that the daemon's earlier process has stopped, so its shares are no longer in use. */
	function resetForNewRun(holder: Holder, run: number): void {
		holder.run = run;
		holder.sequence = 0;
		[...holder.holdings.values()].forEach(holding => {
			holding.ceiling = 0;
			holding.target = 0;
		});
	}

	function applyReport(holder: Holder, report: HolderReport, now: number): void {
		const holding = holdingOf(holder, report.grant, now);
		holding.ceiling = holder.sequence === undefined ? Math.max(holding.ceiling, report.fraction) : report.fraction;
		holding.demand = report.demand;
		holding.reportedAt = now;
	}

	/** Returns the share that is both assigned and durably reserved, and records that the holder may use it. */
	function grantShare(holder: Holder, grant: string): GrantedShare {
		const holding = holder.holdings.get(grant);
		const fraction = holding === undefined ? 0 : Math.min(holding.target, holding.reserved, holding.planned);
		if (holding) {
			holding.ceiling = Math.max(holding.ceiling, fraction);
		}

		return {grant, fraction};
	}

	function isSilent(holder: Holder, now: number): boolean {
		return now - holder.renewedAt > SILENT_AFTER_MS;
	}

	function dropExpired(now: number): void {
		[...holders].filter(([, holder]) => now - holder.renewedAt > ttlMs).forEach(([daemonId]) => {
			holders.delete(daemonId);
		});
	}

	function listGrants(): readonly string[] {
		return [...new Set([...holders.values()].flatMap(holder => [...holder.holdings.keys()]))];
	}

	function isWorthWriting(holding: Holding, wanted: number): boolean {
		const isUnmet = holding.demand > holding.target && wanted > holding.target * MINIMUM_RAISE_FACTOR;
		return isUnmet || Math.abs(wanted - holding.target) > MINIMUM_CHANGE_FRACTION;
	}

	/** Sets the targets of the holders that renew their shares; silent holders keep what they may be using. */
	function divide(grant: string, now: number): void {
		const all = listHoldings(grant);
		const silent = all.filter(entry => isSilent(entry.holder, now));
		silent.forEach(({holding}) => {
			holding.target = holding.ceiling;
		});
		const reachable = all.filter(entry => !silent.includes(entry));
		const available = 1 - silent.reduce((sum, entry) => sum + entry.holding.ceiling, 0);
		const parts = divideGrant(reachable.map(({daemonId, holding}) => ({
			daemonId, demand: now - holding.reportedAt > DEMAND_EXPIRY_MS ? 0 : holding.demand,
		})), Math.max(0, available));
		const wanted = new Map(parts.map(part => [part.daemonId, part.fraction]));
		if (reachable.some(({daemonId, holding}) => isWorthWriting(holding, wanted.get(daemonId) ?? 0))) {
			reachable.forEach(({daemonId, holding}) => {
				holding.target = wanted.get(daemonId) ?? 0;
			});
		}
	}

	function listHoldings(grant: string): readonly GrantHolding[] {
		return [...holders].flatMap(([daemonId, holder]) => {
			const holding = holder.holdings.get(grant);
			return holding ? [{daemonId, holder, holding}] : [];
		});
	}

	/** Plans a reservation per holder: what it may be using, raised towards its target as far as the grant has room. */
	function planReservations(grant: string): void {
		const all = listHoldings(grant);
		const used = all.reduce((sum, {holding}) => sum + holding.ceiling, 0);
		const raises = all.reduce((sum, {holding}) => sum + Math.max(0, holding.target - holding.ceiling), 0);
		const share = raises > NEGLIGIBLE_FRACTION ? Math.min(1, Math.max(0, 1 - used) / raises) : 0;
		all.forEach(({holding}) => {
			holding.planned = holding.ceiling + (share * Math.max(0, holding.target - holding.ceiling));
		});
	}

	function needsWrite(grant: string): boolean {
		return listHoldings(grant).some(({holding}) => holding.planned - holding.reserved > NEGLIGIBLE_FRACTION);
	}

	function createRecord(grants: readonly string[]): ShareRecord {
		return {
			grants: Object.fromEntries(grants.map(grant => [
				grant,
				Object.fromEntries(listHoldings(grant)
					.filter(({holding}) => holding.planned > NEGLIGIBLE_FRACTION)
					.map(({daemonId, holder, holding}) => [daemonId, {run: holder.run, fraction: holding.planned}])),
			])),
		};
	}

	/** Resets the plan to the stored reservations, which stay in force without a write. */
	function keepReservations(grants: readonly string[]): void {
		grants.flatMap(listHoldings).forEach(({holding}) => {
			holding.planned = holding.reserved;
		});
	}

	return {
		load(value, now) {
			holders.clear();
			Object.entries(parseShareRecord(value).grants).forEach(([grant, shares]) => {
				Object.entries(shares).forEach(([daemonId, {run, fraction}]) => {
					const holder = holderOf(daemonId, run, now);
					holder.run = Math.max(holder.run, run);
					holder.holdings.set(grant, {
						ceiling: fraction, target: fraction, reserved: fraction, planned: fraction, demand: 0, reportedAt: now,
					});
				});
			});
		},
		renew(renewal, now) {
			const holder = holderOf(renewal.daemonId, renewal.run, now);
			if (renewal.run < holder.run || (renewal.run === holder.run && renewal.sequence <= (holder.sequence ?? -1))) {
				return [];
			}

			if (renewal.run > holder.run) {
				resetForNewRun(holder, renewal.run);
			}

			holder.renewedAt = now;
			renewal.reports.forEach(report => {
				applyReport(holder, report, now);
			});
			holder.sequence = renewal.sequence;
			return renewal.reports.map(({grant}) => grantShare(holder, grant));
		},
		plan(now) {
			dropExpired(now);
			const grants = listGrants();
			grants.forEach(grant => {
				divide(grant, now);
				planReservations(grant);
			});
			if (grants.some(needsWrite)) {
				return createRecord(grants);
			}

			keepReservations(grants);
			return undefined;
		},
		written(value) {
			listGrants().flatMap(grant => listHoldings(grant).map(entry => ({...entry, grant}))).forEach(({grant, daemonId, holding}) => {
				const fraction = value.grants[grant]?.[daemonId]?.fraction ?? 0;
				holding.reserved = fraction;
				holding.planned = fraction;
			});
		},
		removeHolder(daemonId) {
			holders.delete(daemonId);
		},
		silent: now => [...holders].filter(([, holder]) => isSilent(holder, now)).map(([daemonId]) => daemonId),
	};
}
