/**
 * The shares of the grants of one shard, as their owner keeps them. A share is told to its holder only after a durable
 * write has reserved it. What a holder may still use stays reserved until the holder itself reports less, a later start
 * of it shows, or its end has passed, whether or not the holder can be reached.
 */
import {z} from 'zod';
import {divideGrant} from './share-division.js';

/** What a holder reports of one grant. */
export type HolderReport = {
	/** Names plan and pool. */
	readonly grant: string;
	/** The fraction that the holder uses at present. */
	readonly fraction: number;
	readonly demand: number;
};

/** A renewal. */
export type Renewal = {
	readonly daemonId: string;
	/** Rises with every start of the daemon. */
	readonly run: number;
	/** Rises with every renewal of the run, so that one that was held up on its way is told from the newest. */
	readonly sequence: number;
	readonly reports: readonly HolderReport[];
};

/** A share as told to its holder. */
export type ToldShare = {
	readonly grant: string;
	readonly fraction: number;
};

const record = z.object({
	grants: z.record(z.string(), z.record(z.string(), z.object({run: z.number(), fraction: z.number()}))),
});

/** The value of a grants object: by grant and daemon, what is reserved. */
export type ShareRecord = z.output<typeof record>;

/** The shares of one shard. */
export type ShareLedger = {
	/** Takes over what the store holds; all of it counts as in use from `now` on. */
	readonly load: (value: string, now: number) => void;
	/** Takes a renewal and returns what its holder may use from now on. */
	readonly renew: (renewal: Renewal, now: number) => readonly ToldShare[];
	/** Divides anew; returns the record to write before any raised share is told, or undefined when nothing changed. */
	readonly plan: (now: number) => ShareRecord | undefined;
	/** Tells that the record of the last plan is durable. */
	readonly written: (value: ShareRecord) => void;
	/** Frees everything that a daemon held which certainly does not run any more. */
	readonly forget: (daemonId: string) => void;
	/** Holders that have not renewed for a while. */
	readonly silent: (now: number) => readonly string[];
};

type Holding = {
	/** The most that the holder may be using. */
	ceiling: number;
	/** What it shall use. */
	target: number;
	/** What the store has reserved for it. */
	reserved: number;
	/** What the write under way reserves for it. */
	planned: number;
	demand: number;
	reportedAt: number;
};

type Holder = {
	run: number;
	/** Undefined while nothing was heard since the store was read: the first report may have been overtaken by others. */
	sequence: number | undefined;
	heardAt: number;
	readonly holdings: Map<string, Holding>;
};

type GrantHolding = {
	readonly daemonId: string;
	readonly holder: Holder;
	readonly holding: Holding;
};

/** Holders that were silent for longer keep what they have, but take no part in the division. */
const SILENT_AFTER_MS = 4500;
/** Smaller changes of a share are not worth a write. */
const SMALLEST_CHANGE = 0.01;
/** Factor by which a share that does not meet its demand must grow to be worth a write. */
const SMALLEST_RAISE = 1.1;
/** Demand that was not reported for this long is gone. */
const DEMAND_EXPIRY_MS = 8000;
const NEGLIGIBLE = 1e-9;

/** Reads the value of a grants object; an empty text is a record without shares. Throws on a value of another shape. */
export function parseShareRecord(value: string): ShareRecord {
	return value === '' ? {grants: {}} : record.parse(JSON.parse(value));
}

function remember<T>(known: Map<string, T>, key: string, create: () => T): T {
	const found = known.get(key) ?? create();
	known.set(key, found);
	return found;
}

/** Creates a ledger without shares. A share ends `endMs` after its last renewal; the margin for clock rates is included. */
export function createShareLedger(endMs: number): ShareLedger {
	const holders = new Map<string, Holder>();

	function holderOf(daemonId: string, run: number, now: number): Holder {
		return remember(holders, daemonId, () => ({
			run, sequence: undefined, heardAt: now, holdings: new Map(),
		}));
	}

	function holdingOf(holder: Holder, grant: string, now: number): Holding {
		return remember(holder.holdings, grant, () => ({
			ceiling: 0, target: 0, reserved: 0, planned: 0, demand: 0, reportedAt: now,
		}));
	}

	/** A later start shows that the earlier process, with all that it held, is gone. */
	function startAnew(holder: Holder, run: number): void {
		holder.run = run;
		holder.sequence = 0;
		[...holder.holdings.values()].forEach(holding => {
			holding.ceiling = 0;
			holding.target = 0;
		});
	}

	function takeReport(holder: Holder, report: HolderReport, now: number): void {
		const holding = holdingOf(holder, report.grant, now);
		holding.ceiling = holder.sequence === undefined ? Math.max(holding.ceiling, report.fraction) : report.fraction;
		holding.demand = report.demand;
		holding.reportedAt = now;
	}

	function tell(holder: Holder, grant: string): ToldShare {
		const holding = holder.holdings.get(grant);
		const fraction = holding === undefined ? 0 : Math.min(holding.target, holding.reserved, holding.planned);
		if (holding) {
			holding.ceiling = Math.max(holding.ceiling, fraction);
		}

		return {grant, fraction};
	}

	function isSilent(holder: Holder, now: number): boolean {
		return now - holder.heardAt > SILENT_AFTER_MS;
	}

	function dropEnded(now: number): void {
		[...holders].filter(([, holder]) => now - holder.heardAt > endMs).forEach(([daemonId]) => {
			holders.delete(daemonId);
		});
	}

	function listGrants(): readonly string[] {
		return [...new Set([...holders.values()].flatMap(holder => [...holder.holdings.keys()]))];
	}

	function isWorthChange(holding: Holding, wanted: number): boolean {
		const isUnmet = holding.demand > holding.target && wanted > holding.target * SMALLEST_RAISE;
		return isUnmet || Math.abs(wanted - holding.target) > SMALLEST_CHANGE;
	}

	/** Sets the targets of the holders that can be reached; the others keep what they may be using. */
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
		if (reachable.some(({daemonId, holding}) => isWorthChange(holding, wanted.get(daemonId) ?? 0))) {
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

	/** Plans for each holder what it may be using, and raises it as far as the others leave room. */
	function planReservations(grant: string): void {
		const all = listHoldings(grant);
		const used = all.reduce((sum, {holding}) => sum + holding.ceiling, 0);
		const raises = all.reduce((sum, {holding}) => sum + Math.max(0, holding.target - holding.ceiling), 0);
		const share = raises > NEGLIGIBLE ? Math.min(1, Math.max(0, 1 - used) / raises) : 0;
		all.forEach(({holding}) => {
			holding.planned = holding.ceiling + (share * Math.max(0, holding.target - holding.ceiling));
		});
	}

	function needsWrite(grant: string): boolean {
		return listHoldings(grant).some(({holding}) => holding.planned - holding.reserved > NEGLIGIBLE);
	}

	function createRecord(grants: readonly string[]): ShareRecord {
		return {
			grants: Object.fromEntries(grants.map(grant => [
				grant,
				Object.fromEntries(listHoldings(grant)
					.filter(({holding}) => holding.planned > NEGLIGIBLE)
					.map(({daemonId, holder, holding}) => [daemonId, {run: holder.run, fraction: holding.planned}])),
			])),
		};
	}

	/** Without a write what the store has reserved stays in force. */
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
				startAnew(holder, renewal.run);
			}

			holder.heardAt = now;
			renewal.reports.forEach(report => {
				takeReport(holder, report, now);
			});
			holder.sequence = renewal.sequence;
			return renewal.reports.map(({grant}) => tell(holder, grant));
		},
		plan(now) {
			dropEnded(now);
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
		forget(daemonId) {
			holders.delete(daemonId);
		},
		silent: now => [...holders].filter(([, holder]) => isSilent(holder, now)).map(([daemonId]) => daemonId),
	};
}
