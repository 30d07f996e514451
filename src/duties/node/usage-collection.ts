/** Collects the counts of all daemons over the mesh, and answers with the own counts when another daemon collects. */
import {z} from 'zod';
import type {Clock} from '../../base/common/clock.js';
import type {Log} from '../../kernel/common/log.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {Metrics} from '../../kernel/common/metrics.js';
import {createDecoder, handleDecoded, peerDaemonSchema} from '../../peers/common/decode-call.js';
import type {PeerDaemon, PeerMesh} from '../../peers/common/peer-mesh.js';
import type {OrganisationCounts, UsageReport} from '../common/duties-api.js';
import {GROUP_SIZE, groupDaemons} from '../common/daemon-groups.js';
import {findMedian, type FleetTime} from '../common/fleet-time.js';
import type {UsageCounter} from '../common/usage-counter.js';
import {MAXIMUM_WINDOWS, organisationCountsSchema} from '../common/usage-record.js';

/** The counts of one run of a daemon, as JSON. */
type DaemonCounts = {
	readonly daemon: string;
	readonly incarnation: string;
	/** Unix time by the daemon's own clocks; omitted for a daemon that has stopped. */
	readonly time?: number;
	readonly windows: readonly UsageReport[];
};

type CountsCall = {
	readonly windows: readonly number[];
	/** Median time of all daemons; omitted when the caller doesn't know it. */
	readonly fleetTime?: number;
	/** Daemons that the called daemon asks in turn. */
	readonly ask?: readonly PeerDaemon[];
};

/** The collection of one daemon. */
export type UsageCollection = {
	/** Sums the counts of all daemons. Asks those that don't answer again until the monotonic time `until`, or until `isCurrent` returns false. */
	readonly collect: (windows: readonly number[], until: number, isCurrent: () => boolean) => Promise<readonly UsageReport[]>;
	/** Leaves the own counts with other daemons before this daemon stops. */
	readonly handOver: (windows: readonly number[]) => Promise<void>;
	/** The newest window that another daemon has asked for; undefined if none has. */
	readonly newestAsked: () => number | undefined;
};

/** Dependencies of the collection. */
export type UsageCollectionDependencies = {
	readonly mesh: PeerMesh;
	readonly counter: Pick<UsageCounter, 'read'>;
	readonly time: FleetTime;
	readonly clock: Clock;
	readonly loop: Loop;
	readonly log: Log;
	readonly metrics: Metrics;
};

const COUNTS_CALL = 'usage-counts';
const KEEP_CALL = 'usage-counts-kept';
const STATUS_UNKNOWN_CALL = 404;
/** Time limit of a call to one daemon, and of one that asks further daemons. */
const CALL_TIMEOUT_MS = 700;
const GROUP_TIMEOUT_MS = 1500;
const RETRY_DELAY_MS = 500;
/** Number of daemons that keep the counts of one that stops, and how many of these one daemon keeps. */
const KEEPERS = 2;
const MAXIMUM_KEPT = 64;

const daemonCountsSchema = z.object({
	daemon: z.string(), incarnation: z.string(), time: z.number().optional(), windows: z.array(z.object({windowId: z.number().int(), counts: organisationCountsSchema})).max(MAXIMUM_WINDOWS),
});
const decodeCounts = createDecoder<DaemonCounts>(daemonCountsSchema);
const decodeReply = createDecoder<{readonly reports: readonly DaemonCounts[]}>(z.object({reports: z.array(daemonCountsSchema)}));
const decodeCall = createDecoder<CountsCall>(z.object({
	windows: z.array(z.number().int()).max(MAXIMUM_WINDOWS), fleetTime: z.number().optional(), ask: z.array(peerDaemonSchema).max(GROUP_SIZE).optional(),
}));

type Answer = {
	readonly reports: readonly DaemonCounts[];
	/** Daemons that are not asked again, as their build does not count. */
	readonly hopeless: readonly string[];
};

/** Sums reports by window; a run of a daemon counts once, whoever reports it. */
function sumReports(windows: readonly number[], reports: ReadonlyMap<string, DaemonCounts>): readonly UsageReport[] {
	return windows.map(windowId => {
		const sums = new Map<string, number>();
		[...reports.values()].forEach(report => {
			Object.entries(report.windows.find(window => window.windowId === windowId)?.counts ?? {}).forEach(([organisation, count]) => {
				sums.set(organisation, (sums.get(organisation) ?? 0) + count);
			});
		});
		const counts: OrganisationCounts = Object.fromEntries(sums);
		return {windowId, counts};
	});
}

/** Creates the collection and registers its calls. */
export function createUsageCollection({
	mesh, counter, time, clock, loop, log, metrics,
}: UsageCollectionDependencies): UsageCollection {
	const kept = new Map<string, DaemonCounts>();
	const withoutCounts = new Set<string>();
	let newestAsked: number | undefined;
	const keyOf = ({daemon, incarnation}: DaemonCounts): string => `${daemon}/${incarnation}`;

	function describeOwn(windows: readonly number[]): DaemonCounts {
		const now = clock.monotonic();
		const offsetMs = time.offset(now);
		return {
			daemon: mesh.self.name, incarnation: mesh.self.incarnation, time: time.own(now), windows: windows.map(windowId => ({windowId, counts: counter.read(windowId, now, offsetMs)})),
		};
	}

	function listHere(windows: readonly number[]): readonly DaemonCounts[] {
		const ofStopped = [...kept.values()].map(report => ({...report, windows: report.windows.filter(({windowId}) => windows.includes(windowId))}));
		return [describeOwn(windows), ...ofStopped.filter(report => report.windows.length > 0)];
	}

	async function ask([first, ...rest]: readonly PeerDaemon[], call: CountsCall): Promise<Answer> {
		if (first === undefined) {
			return {reports: [], hopeless: []};
		}

		const answer = await mesh.call(first, COUNTS_CALL, {...call, ...(rest.length > 0 && {ask: rest})}, rest.length > 0 ? GROUP_TIMEOUT_MS : CALL_TIMEOUT_MS);
		return answer.match<Answer>(({status, body}) => {
			const reply = status === 200 ? decodeReply(body) : undefined;
			const isEarlierBuild = status === STATUS_UNKNOWN_CALL;
			if (reply === undefined && !withoutCounts.has(first.name)) {
				withoutCounts.add(first.name);
				const problem = isEarlierBuild ? 'daemon of an earlier build does not count its requests; they are missing in usage reports' : 'usage of a daemon can not be decoded';
				log.warn(problem, {from: first.name, status});
			}

			return {reports: reply?.reports ?? [], hopeless: isEarlierBuild ? [first.name] : []};
		}, () => ({reports: [], hopeless: []}));
	}

	handleDecoded(mesh, log, COUNTS_CALL, decodeCall, async ({windows, fleetTime, ask: others = []}) => {
		newestAsked = Math.max(newestAsked ?? Number.NEGATIVE_INFINITY, ...windows);
		if (fleetTime !== undefined) {
			time.recordFleet(fleetTime, clock.monotonic());
		}

		const answers = await Promise.all(others.map(async peer => ask([peer], {windows, ...(fleetTime !== undefined && {fleetTime})})));
		return {status: 200, body: {reports: [...listHere(windows), ...answers.flatMap(({reports}) => reports)]}};
	});
	handleDecoded(mesh, log, KEEP_CALL, decodeCounts, async report => {
		kept.set(keyOf(report), report);
		[...kept.keys()].slice(0, -MAXIMUM_KEPT).forEach(key => {
			kept.delete(key);
		});
		return {status: 200, body: null};
	});

	/** Derives the time of all daemons from their answers; the median is not moved by a few wrong clocks. */
	function recordTimes(reports: readonly DaemonCounts[], receivedAt: number): void {
		const median = findMedian([time.own(receivedAt), ...reports.flatMap(report => report.time ?? [])]);
		if (median !== undefined && reports.length > 0) {
			time.recordFleet(median, receivedAt);
		}
	}

	return {
		async collect(windows, until, isCurrent) {
			const reports = new Map(listHere(windows).map(report => [keyOf(report), report]));
			/** Daemons that are not asked again, and those of them that have answered themselves. */
			const done = new Set<string>();
			const answeredNames = new Set<string>();

			async function askMissing(turn: number): Promise<void> {
				const missing = mesh.others().filter(peer => !done.has(peer.name));
				const answered = mesh.others().filter(peer => answeredNames.has(peer.name));
				const call: CountsCall = {windows, fleetTime: time.read(clock.monotonic())};
				const answers = await Promise.all(groupDaemons(missing, answered, turn).map(async group => {
					const answer = await ask(group, call);
					const receivedAt = clock.monotonic();
					const [first] = group;
					if (answer.reports.length > 0 && first !== undefined) {
						answeredNames.add(first.name);
					}

					// A daemon from the settings may be known by its address only, so the one that was called counts as answered as well.
					[...answer.hopeless, ...answer.reports.map(({daemon}) => daemon), ...answeredNames].forEach(name => {
						done.add(name);
					});
					return answer.reports.map(report => ({...report, ...(report.time !== undefined && {time: report.time + (clock.monotonic() - receivedAt)})}));
				}));
				recordTimes(answers.flat(), clock.monotonic());
				answers.flat().forEach(report => {
					reports.set(keyOf(report), reports.get(keyOf(report)) ?? report);
				});
				const left = mesh.others().filter(peer => !done.has(peer.name));
				if (left.length > 0 && clock.monotonic() + RETRY_DELAY_MS < until && isCurrent()) {
					await loop.sleep(RETRY_DELAY_MS);
					return askMissing(turn + 1);
				}

				if (windows.length > 0) {
					metrics.count('duties.usage_missed', left.length);
					log.info('usage collected', {windows, daemons: reports.size, missed: left.map(({name}) => name)});
				}
			}

			await askMissing(0);
			return sumReports(windows, reports);
		},
		async handOver(windows) {
			const own = describeOwn(windows);
			const left: DaemonCounts = {daemon: own.daemon, incarnation: own.incarnation, windows: own.windows.filter(({counts}) => Object.keys(counts).length > 0)};
			if (left.windows.length > 0) {
				const keepers = mesh.othersByReachability().slice(0, KEEPERS);
				const answers = await Promise.all(keepers.map(async peer => mesh.call(peer, KEEP_CALL, left, CALL_TIMEOUT_MS)));
				log.info('usage left with other daemons', {to: keepers.map(({name}) => name), accepted: answers.filter(answer => answer.isOk() && answer.value.status === 200).length});
			}
		},
		newestAsked: () => newestAsked,
	};
}
