/**
 * Estimates how long work takes on the machines of backend servers, from what the servers state in their responses. The stated figure
 * changes many times a second, so a reading is only a sample: recent readings are averaged, few of them count little, and they age.
 */

/** The work times of all servers that state them. */
export type WorkTimes = {
	/** Records a reading in percent of the usual time; undefined, which is usual, where the server states none. */
	readonly report: (serverId: string, percent: number | undefined, at: number) => void;
	/** The expected time of work in multiples of the usual time; 1 without recent readings. */
	readonly read: (serverId: string, now: number) => number;
	readonly forget: (serverId: string) => void;
};

/** Time in which the weight of a reading falls to 1/e, so that 2% of it is left after two seconds. */
const READING_DECAY_MS = 500;
/** Weight of the usual time in the average, in readings: a single new reading counts half. */
const USUAL_WEIGHT = 1;
/** Readings count at most as this multiple, so that one odd figure does not shut a server out. */
const MAXIMUM_WORK_TIME = 4;
/**
 * Readings count at least as this multiple. A server that looks fast attracts all daemons that see it, so its advantage is smaller
 * than the cost that a daemon's first own request adds at eight slots, 6% of a request's time.
 */
const MINIMUM_WORK_TIME = 0.95;
const USUAL_PERCENT = 100;

type Average = {
	/** Sum of the decayed weights of the readings. */
	readonly weight: number;
	/** Sum of the weighted deviations from the usual time. */
	readonly deviation: number;
	readonly at: number;
};

function decay(average: Average, now: number): Average {
	const share = Math.exp(-Math.max(0, now - average.at) / READING_DECAY_MS);
	return {weight: average.weight * share, deviation: average.deviation * share, at: Math.max(now, average.at)};
}

/** Creates the work times without readings. */
export function createWorkTimes(): WorkTimes {
	const averageByServer = new Map<string, Average>();
	return {
		report(serverId, percent, at) {
			const known = averageByServer.get(serverId);
			// Servers that never state a figure need no record.
			if (known === undefined && percent === undefined) {
				return;
			}

			const {weight, deviation, at: updatedAt} = decay(known ?? {weight: 0, deviation: 0, at}, at);
			const multiple = (percent ?? USUAL_PERCENT) / USUAL_PERCENT;
			averageByServer.set(serverId, {
				weight: weight + 1, deviation: deviation + Math.min(MAXIMUM_WORK_TIME, Math.max(MINIMUM_WORK_TIME, multiple)) - 1, at: updatedAt,
			});
		},
		read(serverId, now) {
			const known = averageByServer.get(serverId);
			if (known === undefined) {
				return 1;
			}

			const {weight, deviation} = decay(known, now);
			return 1 + (deviation / (weight + USUAL_WEIGHT));
		},
		forget(serverId) {
			averageByServer.delete(serverId);
		},
	};
}
