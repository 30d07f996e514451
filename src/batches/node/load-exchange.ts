/** Reports this daemon's load on engines and its waiting items to other owners of batches: after each change, and repeatedly while it has work. */
import {z} from 'zod';
import type {Clock} from '../../base/common/clock.js';
import type {ServerView} from '../../gateway/common/server-view.js';
import type {Log} from '../../kernel/common/log.js';
import {createDecoder, handleDecoded} from '../../peers/common/decode-call.js';
import type {PeerDaemon, PeerMesh} from '../../peers/common/peer-mesh.js';
import {leavingNoticeSchema, type LeavingNotice} from '../../gateway/common/leaving-notices.js';
import type {EngineCounts, SharedLoads} from '../../gateway/common/shared-loads.js';
import type {Demand, StartPriorities} from '../common/start-priorities.js';

/** The work of one owner of batches, as it is reported. */
export type OwnWork = {
	/** The waiting items of its batches. */
	readonly demands: readonly Demand[];
	/** Number of open batches that it runs. */
	readonly open: number;
};

/** The exchange of one daemon. */
export type LoadExchange = {
	/** Sends a report to the given owners when something has changed or a repetition is due. */
	readonly tick: (owners: readonly PeerDaemon[], work: OwnWork, now: number) => void;
	/** Exchanges reports with the given owners, before this daemon starts to own a batch. */
	readonly exchangeReports: (owners: readonly PeerDaemon[]) => void;
};

/** Dependencies of the exchange. */
export type LoadExchangeDependencies = {
	readonly loads: SharedLoads;
	readonly view: ServerView;
	readonly startPriorities: StartPriorities;
	readonly mesh: PeerMesh;
	readonly clock: Clock;
	readonly log: Log;
	/** Called with the number of open batches that another owner reports. */
	readonly onOpenBatchesReported: (owner: string, open: number) => void;
};

/** The report that owners send each other, as JSON. */
type LoadReport = {
	readonly owner: string;
	/** Number of running generations by engine. */
	readonly counts: EngineCounts;
	/** Servers that the owner knows to be leaving; owners in other regions may not know them yet. */
	readonly leaving: readonly LeavingNotice[];
	/** The waiting items of the owner's batches. */
	readonly demands: readonly Demand[];
	/** Number of open batches that the owner runs. */
	readonly open: number;
};

const decodeReport = createDecoder<LoadReport>(z.object({
	owner: z.string(),
	counts: z.record(z.string(), z.number()),
	leaving: z.array(leavingNoticeSchema),
	demands: z.array(z.object({
		batchId: z.string(), model: z.string(), oldestVersion: z.number(), slacksMs: z.array(z.number().nullable()), hopeless: z.number(),
	})),
	open: z.number(),
}));

/** An unchanged report is sent again after this time while there is work. */
const REPEAT_INTERVAL_MS = 500;
const CALL_TIMEOUT_MS = 400;

/** Creates the exchange. */
export function createLoadExchange(dependencies: LoadExchangeDependencies): LoadExchange {
	const {
		loads, view, startPriorities, mesh, clock, log,
	} = dependencies;
	let own: OwnWork = {demands: [], open: 0};
	const countOwn = (): EngineCounts => loads.listOwnCounts(view.all().map(entry => entry.id));
	let lastReported = '';
	let lastReportedAt = Number.NEGATIVE_INFINITY;

	function describe(counts: EngineCounts): LoadReport {
		return {
			owner: mesh.self.name, counts, leaving: view.listLeavingNotices(clock.monotonic()), ...own,
		};
	}

	function applyReport({
		owner, counts, leaving, demands, open,
	}: LoadReport): void {
		const now = clock.monotonic();
		loads.applyReport(owner, counts, now);
		startPriorities.applyReport(owner, demands, now);
		dependencies.onOpenBatchesReported(owner, open);
		leaving.forEach(notice => {
			view.recordLeaving(notice, now);
		});
	}

	handleDecoded(mesh, log, 'engine-loads', decodeReport, async report => {
		applyReport(report);
		return {status: 200, body: describe(countOwn())};
	});

	/** Sends a report to another owner, and applies the report in its reply. */
	async function sendReport(owner: PeerDaemon, counts: EngineCounts): Promise<void> {
		const reply = await mesh.call(owner, 'engine-loads', describe(counts), CALL_TIMEOUT_MS);
		reply.match(({body}) => {
			const report = decodeReport(body);
			if (report === undefined) {
				log.warn('load report can not be decoded', {from: owner.name});
				return;
			}

			applyReport(report);
		}, failure => {
			log.debug('load report not delivered', {to: owner.name, reason: failure.message});
		});
	}

	return {
		tick(owners, work, now) {
			own = work;
			const counts = countOwn();
			const summary = JSON.stringify({counts, open: work.open, waiting: work.demands.map(demand => `${demand.batchId} ${demand.slacksMs.length} ${demand.hopeless}`)});
			const isSame = summary === lastReported;
			const isIdle = Object.keys(counts).length === 0 && work.open === 0;
			if (isSame && (isIdle || now - lastReportedAt < REPEAT_INTERVAL_MS)) {
				return;
			}

			lastReported = summary;
			lastReportedAt = now;
			owners.forEach(owner => {
				void sendReport(owner, counts);
			});
		},
		exchangeReports(owners) {
			const counts = countOwn();
			owners.forEach(owner => {
				void sendReport(owner, counts);
			});
		},
	};
}
