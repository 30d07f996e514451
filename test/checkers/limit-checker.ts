/** Checks that servers with request limits get no more requests than their limits allow, from what arrived there and what they stated. */

/** A request that reached a server. */
export type Arrival = {
	readonly serverId: string;
	readonly daemon: string;
	readonly at: number;
};

/** A response that stated a limit. */
export type Statement = Arrival;

/** A change of a server's limit. */
export type LimitSetting = {
	readonly serverId: string;
	readonly at: number;
	readonly perSecond: number | undefined;
};

/** What the servers recorded. */
export type LimitRecord = {
	readonly arrivals: readonly Arrival[];
	readonly statements: readonly Statement[];
	readonly settings: readonly LimitSetting[];
};

/** A disturbance that excuses a daemon. */
export type Excuse = {
	readonly daemon: string;
	readonly from: number;
	readonly until: number;
};

const SETTLE_MS = 4000;
const WINDOW_MS = 4000;
const TOLD_MS = 500;
const ALLOWED_FACTOR = 1.5;
const ALLOWED_EXTRA = 5;

type LimitPeriod = {
	readonly serverId: string;
	readonly from: number;
	readonly until: number;
	readonly settings: readonly LimitSetting[];
};

/** Lists the periods in which servers stated limits without a break. */
function listPeriods(settings: readonly LimitSetting[]): readonly LimitPeriod[] {
	return [...new Set(settings.map(setting => setting.serverId))].flatMap(serverId => {
		const own = settings.filter(setting => setting.serverId === serverId);
		const starts = own.filter((setting, index) => setting.perSecond !== undefined && own[index - 1]?.perSecond === undefined);
		return starts.map(start => {
			const until = own.find(setting => setting.at > start.at && setting.perSecond === undefined)?.at ?? Number.POSITIVE_INFINITY;
			return {
				serverId, from: start.at, until, settings: own.filter(setting => setting.at >= start.at && setting.at < until),
			};
		});
	});
}

/** Returns the highest limit that was in force in a window, or shortly before it. */
function highestLimit(settings: readonly LimitSetting[], from: number, until: number): number {
	const first = settings.findLastIndex(setting => setting.at <= from - TOLD_MS);
	return Math.max(...settings.filter((setting, index) => index >= first && setting.at < until).map(setting => setting.perSecond ?? 0));
}

/**
 * Lists the windows in which a server got more requests than its highest limit of the window allows, from daemons that had known of the
 * limit for some time, and that were neither restarted, paused nor partitioned around the window.
 */
export function findLimitViolations({arrivals, statements, settings}: LimitRecord, excuses: readonly Excuse[] = []): readonly string[] {
	return listPeriods(settings).flatMap(period => {
		const told = new Map<string, number>();
		statements.filter(({serverId, at}) => serverId === period.serverId && at >= period.from && at < period.until).forEach(({daemon, at}) => {
			told.set(daemon, told.get(daemon) ?? at);
		});
		const counted = arrivals.filter(({serverId, daemon, at}) => serverId === period.serverId && at < period.until
			&& at >= (told.get(daemon) ?? Number.POSITIVE_INFINITY) + TOLD_MS
			&& !excuses.some(excuse => excuse.daemon === daemon && at >= excuse.from && at <= excuse.until + SETTLE_MS));
		return counted.flatMap(({at}) => {
			const end = at + WINDOW_MS;
			const count = counted.filter(arrival => arrival.at >= at && arrival.at < end).length;
			const allowed = (ALLOWED_FACTOR * highestLimit(period.settings, at, end) * WINDOW_MS / 1000) + ALLOWED_EXTRA;
			return end >= period.from + SETTLE_MS && count > allowed ? [`${period.serverId} got ${count} requests in 4 s from ${Math.round(at)} ms on, allowed ${allowed.toFixed(1)}`] : [];
		});
	});
}
