/** Expected times until servers with a limit would take another request, from the last decisions that this daemon received. */

/** The forecast of one daemon. */
export type PermitForecast = {
	readonly record: (serverId: string, waitMs: number, now: number) => void;
	/** Milliseconds until a permit is expected; 0 when it may be available now. */
	readonly read: (serverId: string, now: number) => number;
};

/** Maximum number of servers; the oldest are dropped first. */
const MAXIMUM_SERVERS = 4000;

/** Creates a forecast that expects every permit at once. */
export function createPermitForecast(): PermitForecast {
	const availableAtByServer = new Map<string, number>();
	return {
		record(serverId, waitMs, now) {
			availableAtByServer.delete(serverId);
			availableAtByServer.set(serverId, now + waitMs);
			[...availableAtByServer.keys()].slice(0, Math.max(0, availableAtByServer.size - MAXIMUM_SERVERS)).forEach(id => {
				availableAtByServer.delete(id);
			});
		},
		read: (serverId, now) => Math.max(0, (availableAtByServer.get(serverId) ?? now) - now),
	};
}
