/** Obtains permits for servers with a limit from their keepers, and grants permits to other daemons where this daemon is the keeper. */
import {z} from 'zod';
import type {Clock} from '../../base/common/clock.js';
import {createDisposable, type Disposable} from '../../base/common/disposable.js';
import type {Log} from '../../kernel/common/log.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {Metrics} from '../../kernel/common/metrics.js';
import {createDecoder, handleDecoded, peerDaemonSchema} from '../../peers/common/decode-call.js';
import type {PeerDaemon, PeerMesh, PeerReply} from '../../peers/common/peer-mesh.js';
import {isRefusedConnection} from '../../peers/common/process-end.js';
import {createPermitForecast} from '../common/permit-forecast.js';
import {
	chooseKeeper, CONTESTED_RATE_SHARE, createKeeperReachability, rankKeepers, type KeeperChoice,
} from '../common/permit-keepers.js';
import {
	createPermitLedger, type PermitDecision, type PermitLedger, type PermitWait,
} from '../common/permit-ledger.js';
import {limitNoticeSchema, type ServerLimitNotice, type ServerLimits} from '../common/server-limits.js';
import type {ServerPermits} from '../common/server-permits.js';

/** What a daemon knows about a server that may have a limit. */
export type LimitedServer = {
	/** Unix time in milliseconds at which the server's current run started; undefined when it is not known. */
	readonly startedAt: number | undefined;
	readonly region: string | undefined;
};

/** Dependencies of the permits. */
export type ServerPermitDependencies = {
	readonly limits: ServerLimits;
	readonly mesh: PeerMesh;
	readonly clock: Clock;
	readonly loop: Loop;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly describeServer: (serverId: string) => LimitedServer;
};

/** The call for one permit, as JSON. */
type PermitCall = PermitWait & {
	readonly notice: ServerLimitNotice;
	readonly region: string | undefined;
	/** Number of daemons that have passed the call on. */
	readonly hops: number;
};

type PermitReply = PermitDecision & {
	readonly notice: ServerLimitNotice | undefined;
};

type HandoverCall = {
	readonly serverId: string;
	readonly keeper: PeerDaemon;
};

type Kept = {
	readonly ledger: PermitLedger;
	readonly region: string | undefined;
	/** Monotonic time until which a previous keeper may still grant permits; it could not be told of this one. */
	contestedUntil: number;
	timer: Disposable | undefined;
	usedAt: number;
	/** Resolves when the next candidates have been told of this keeper, or did not reply. */
	takenOver: Promise<void>;
};

const decodePermitCall = createDecoder<PermitCall>(z.object({
	notice: limitNoticeSchema, region: z.string().optional(), hops: z.number(), urgency: z.enum(['caller', 'background']), waitedMs: z.number(), patienceMs: z.number(),
}));
const decodeHandoverCall = createDecoder<HandoverCall>(z.object({serverId: z.string(), keeper: peerDaemonSchema}));
const decodePermitReply = createDecoder<PermitReply>(z.object({isGranted: z.boolean(), waitMs: z.number(), notice: limitNoticeSchema.optional()}));

const PERMIT_CALL = 'server-permit';
const HANDOVER_CALL = 'server-permit-handover';
/** Time for a reply of the keeper, in addition to the time for which it holds the call. */
const REPLY_TIMEOUT_MS = 300;
/** Maximum time for which a request waits for one permit. */
const MAXIMUM_PATIENCE_MS = 2000;
/** Maximum number of daemons that pass a call on, which bounds loops between daemons that rank different candidates. */
const MAXIMUM_HOPS = 2;
/** Keepers that one request tries. */
const MAXIMUM_TRIES = 4;
/** Number of next candidates that a new keeper tells, because they may be granting permits until then. */
const PREDECESSORS = 3;
/** Time after which all daemons know a new one, and a keeper that could not be told is no longer called by any of them. */
const DIRECTORY_DELAY_MS = 6000;
const STATUS_NOT_KEEPER = 503;
/** A limit is probed at least this often, in requests a second, because only a response shows that it has ended. */
const MINIMUM_PER_SECOND = 0.1;
const UPKEEP_PERIOD_MS = 500;
/** A gap of this length between two upkeeps shows that the process was paused, and another daemon may have become keeper. */
const PAUSE_MS = 2000;
const IDLE_LEDGER_TTL_MS = 60_000;
const STATUS_OK = 200;

/** Creates the permits of a daemon, registers the calls of other daemons, and starts the upkeep. */
export function createServerPermits(dependencies: ServerPermitDependencies): ServerPermits & Disposable {
	const {
		limits, mesh, clock, loop, log, metrics, describeServer,
	} = dependencies;
	const forecasts = {caller: createPermitForecast(), background: createPermitForecast()};
	const reachability = createKeeperReachability();
	const keptByServer = new Map<string, Kept>();
	/** Keepers that announced themselves; the directory may not list them yet. */
	const announced = new Map<string, {readonly daemon: PeerDaemon; readonly until: number}>();
	let upkeepAt = clock.monotonic();

	/** Daemons of the directory; seeds, whose names are not known, are left out. */
	function listDaemons(now: number): readonly PeerDaemon[] {
		const listed = [mesh.self, ...mesh.others()].filter(daemon => daemon.incarnation !== '');
		return [...listed, ...[...announced.values()].filter(({daemon, until}) => now < until && !listed.some(({name}) => name === daemon.name)).map(({daemon}) => daemon)];
	}

	function isDirectoryKnown(): boolean {
		return mesh.others().every(daemon => daemon.incarnation !== '');
	}

	function choose(serverId: string, region: string | undefined, now: number): KeeperChoice {
		if (!isDirectoryKnown()) {
			// Any other daemon passes the call on. Without one, this daemon can not know who grants permits.
			const seed = mesh.others().find(daemon => !reachability.isSkipped(daemon.name, now));
			return seed === undefined ? {kind: 'self', rateShare: CONTESTED_RATE_SHARE} : {kind: 'peer', daemon: seed};
		}

		return chooseKeeper(rankKeepers(serverId, region, listDaemons(now)), mesh.self.name, reachability, now);
	}

	function limitOf(serverId: string): number | undefined {
		return limits.perSecondOf(serverId, describeServer(serverId).startedAt);
	}

	function schedule(kept: Kept, now: number): void {
		kept.timer?.dispose();
		const nextAt = kept.ledger.settle(now);
		kept.timer = Number.isFinite(nextAt)
			? loop.after(Math.max(1, nextAt - now), at => {
				schedule(kept, at);
			})
			: undefined;
	}

	function configure(serverId: string, kept: Kept, rateShare: number, now: number): void {
		const share = now < kept.contestedUntil ? Math.min(rateShare, CONTESTED_RATE_SHARE) : rateShare;
		kept.ledger.configure(Math.max(MINIMUM_PER_SECOND, limitOf(serverId) ?? 0), share, now);
	}

	function stopKeeping(serverId: string, reason: string): void {
		const kept = keptByServer.get(serverId);
		if (kept === undefined) {
			return;
		}

		log.info('stops granting permits of a backend server', {serverId, reason});
		keptByServer.delete(serverId);
		kept.timer?.dispose();
		kept.ledger.close(clock.monotonic());
	}

	/** Tells the next candidates that this daemon is the keeper. Until they know, it grants only a part of the limit. */
	async function takeOver(serverId: string, kept: Kept): Promise<void> {
		kept.contestedUntil = clock.monotonic() + DIRECTORY_DELAY_MS;
		const ranked = rankKeepers(serverId, kept.region, listDaemons(clock.monotonic()));
		const own = ranked.findIndex(daemon => daemon.name === mesh.self.name);
		const call: HandoverCall = {serverId, keeper: mesh.self};
		const areTold = await Promise.all(ranked.slice(own + 1, own + 1 + PREDECESSORS).map(async daemon => {
			const reply = await mesh.call(daemon, HANDOVER_CALL, call, REPLY_TIMEOUT_MS);
			// A partition may refuse as well: two keepers then grant at once, and a daemon that is cut off is excused from the limit.
			return reply.isOk() || isRefusedConnection(reply.error);
		}));
		if (areTold.every(Boolean)) {
			kept.contestedUntil = Number.NEGATIVE_INFINITY;
		}

		log.info('grants permits of a backend server', {
			serverId, perSecond: limitOf(serverId), contested: !areTold.every(Boolean), rank: own,
		});
	}

	function keep(serverId: string, region: string | undefined, now: number): Kept {
		const known = keptByServer.get(serverId);
		const kept = known ?? {
			ledger: createPermitLedger(), region, contestedUntil: Number.POSITIVE_INFINITY, timer: undefined, usedAt: now, takenOver: Promise.resolve(),
		};
		kept.usedAt = now;
		if (known === undefined) {
			keptByServer.set(serverId, kept);
			kept.takenOver = takeOver(serverId, kept);
		}

		return kept;
	}

	async function decideHere(serverId: string, region: string | undefined, rateShare: number, wait: PermitWait): Promise<PermitDecision> {
		const startedAt = clock.monotonic();
		const kept = keep(serverId, region, startedAt);
		await kept.takenOver;
		return new Promise(resolve => {
			const now = clock.monotonic();
			if (keptByServer.get(serverId) !== kept) {
				resolve({isGranted: false, waitMs: 0});
				return;
			}

			configure(serverId, kept, rateShare, now);
			kept.ledger.request({...wait, patienceMs: Math.max(0, wait.patienceMs - (now - startedAt))}, resolve, now);
			schedule(kept, now);
		});
	}

	function recordFailure(daemon: PeerDaemon, hasEnded: boolean, serverId: string, reason: string): void {
		reachability.recordFailure(daemon.name, hasEnded, clock.monotonic());
		log.info('keeper of a limit does not reply', {
			serverId, keeper: daemon.name, hasEnded, reason,
		});
	}

	/** Calls the keeper; undefined when it did not reply or is not ready. */
	async function callKeeper(daemon: PeerDaemon, call: PermitCall): Promise<PermitReply | undefined> {
		const reply = await mesh.call(daemon, PERMIT_CALL, call, call.patienceMs + REPLY_TIMEOUT_MS);
		if (reply.isErr()) {
			recordFailure(daemon, isRefusedConnection(reply.error), call.notice.serverId, reply.error.message);
			return undefined;
		}

		if (reply.value.status !== STATUS_OK) {
			recordFailure(daemon, true, call.notice.serverId, `status ${reply.value.status}`);
			return undefined;
		}

		reachability.recordReply(daemon.name, clock.monotonic());
		const decision = decodePermitReply(reply.value.body);
		if (decision === undefined) {
			log.warn('reply of a keeper can not be decoded', {keeper: daemon.name});
		}

		return decision;
	}

	/** Gets a decision from the keeper, or makes it where this daemon is the keeper. */
	async function decide(call: PermitCall, deadline: number, triesLeft: number): Promise<PermitDecision> {
		const now = clock.monotonic();
		const {serverId} = call.notice;
		const patienceMs = Math.max(0, deadline - now);
		if (call.hops > MAXIMUM_HOPS) {
			return {isGranted: false, waitMs: REPLY_TIMEOUT_MS};
		}

		const choice = choose(serverId, call.region, now);
		if (choice.kind === 'self') {
			return decideHere(serverId, call.region, choice.rateShare, {...call, patienceMs});
		}

		const reply = await callKeeper(choice.daemon, {...call, patienceMs, hops: call.hops + 1});
		if (reply === undefined) {
			return triesLeft > 1 ? decide(call, deadline, triesLeft - 1) : {isGranted: false, waitMs: REPLY_TIMEOUT_MS};
		}

		stopKeeping(serverId, `${choice.daemon.name} ranks before this daemon`);
		if (reply.notice !== undefined) {
			limits.recordNotice(reply.notice, clock.monotonic());
		}

		return reply;
	}

	handleDecoded(mesh, log, PERMIT_CALL, decodePermitCall, async (call): Promise<PeerReply> => {
		const {serverId} = call.notice;
		const now = clock.monotonic();
		limits.recordNotice(call.notice, now);
		if (!isDirectoryKnown()) {
			return {status: STATUS_NOT_KEEPER, body: null};
		}

		const decision = limitOf(serverId) === undefined ? {isGranted: true, waitMs: 0} : await decide(call, now + call.patienceMs, MAXIMUM_TRIES);
		const reply: PermitReply = {...decision, notice: limits.notice(serverId, clock.monotonic())};
		return {status: STATUS_OK, body: reply};
	});

	handleDecoded(mesh, log, HANDOVER_CALL, decodeHandoverCall, async ({serverId, keeper}) => {
		const now = clock.monotonic();
		announced.set(keeper.name, {daemon: keeper, until: now + (2 * DIRECTORY_DELAY_MS)});
		reachability.recordReply(keeper.name, now);
		stopKeeping(serverId, `${keeper.name} grants them now`);
		return {status: STATUS_OK, body: null};
	});

	limits.onDidChange(({limit: {serverId, perSecond}}) => {
		const kept = keptByServer.get(serverId);
		if (perSecond === undefined) {
			stopKeeping(serverId, 'the server has no limit any more');
		} else if (kept !== undefined) {
			const choice = choose(serverId, kept.region, clock.monotonic());
			configure(serverId, kept, choice.kind === 'self' ? choice.rateShare : CONTESTED_RATE_SHARE, clock.monotonic());
			schedule(kept, clock.monotonic());
		}
	});

	const upkeep = loop.every({
		name: 'permits of limited servers',
		periodMs: UPKEEP_PERIOD_MS,
		run(now) {
			const wasPaused = now - upkeepAt > PAUSE_MS;
			upkeepAt = now;
			[...announced].filter(([, {until}]) => until <= now).forEach(([name]) => {
				announced.delete(name);
			});
			[...keptByServer].forEach(([serverId, kept]) => {
				if (now - kept.usedAt > IDLE_LEDGER_TTL_MS) {
					stopKeeping(serverId, 'nobody asks for them');
				} else if (wasPaused) {
					kept.takenOver = takeOver(serverId, kept);
				}
			});
		},
	});

	async function obtain(serverId: string, wait: PermitWait): Promise<PermitDecision> {
		const now = clock.monotonic();
		const notice = limits.notice(serverId, now);
		if (notice === undefined || limitOf(serverId) === undefined) {
			return {isGranted: true, waitMs: 0};
		}

		const patienceMs = Math.min(wait.patienceMs, MAXIMUM_PATIENCE_MS);
		const decision = await decide({
			...wait, patienceMs, notice, region: describeServer(serverId).region, hops: 0,
		}, now + patienceMs, MAXIMUM_TRIES);
		const decidedAt = clock.monotonic();
		if (limitOf(serverId) === undefined) {
			return {isGranted: true, waitMs: 0};
		}

		forecasts[wait.urgency].record(serverId, decision.waitMs, decidedAt);
		metrics.count('server_limit.permits', 1, {urgency: wait.urgency, outcome: decision.isGranted ? 'granted' : 'denied'});
		metrics.timing('server_limit.permit_wait', decidedAt - now, {urgency: wait.urgency});
		return decision;
	}

	return {
		isLimited: serverId => limitOf(serverId) !== undefined,
		waitMs: (serverId, urgency, now) => (limitOf(serverId) === undefined ? 0 : forecasts[urgency].read(serverId, now)),
		obtain,
		...createDisposable(() => {
			upkeep.dispose();
			[...keptByServer.keys()].forEach(serverId => {
				stopKeeping(serverId, 'the daemon stops');
			});
		}),
	};
}
