/**
 * Serves all batches at any daemon. One daemon owns each batch; the others forward calls to the owner, and take the batch over
 * when the owner is unreachable. Results are stored before callers see them, so that any daemon can return the same again.
 */
import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import {readClocks} from '../../base/common/clock.js';
import {createEmitter} from '../../base/common/event.js';
import {createPauseRecord} from '../../base/common/pause-record.js';
import type {Random} from '../../base/common/random.js';
import {handleDecoded} from '../../peers/common/decode-call.js';
import type {PeerDaemon, PeerReply} from '../../peers/common/peer-mesh.js';
import type {Batch, ResultPage} from '../common/batch.js';
import {decideAccess, type BatchAccess, type BatchReader} from '../common/batch-access.js';
import {
	decodeAdoption, decodeAnnouncement, decodeOwnedCall, decodePage, decodeSubmission,
} from '../common/batch-schemas.js';
import type {Batches, OpenedBatch} from '../common/batches.js';
import {createSubmissions, type SubmissionDependencies} from './batch-submission.js';
import {
	createHeldBatches, createNotFoundFailure, type HeldBatch, type HeldBatchDependencies,
} from './held-batches.js';
import type {OwnWork} from './load-exchange.js';
import {createOwnerCalls, OWNER_REPLY_MS, READ_CALL} from './owner-calls.js';

/** Dependencies of the service. */
export type BatchServiceDependencies = Omit<HeldBatchDependencies, 'isLeaving'> & Pick<SubmissionDependencies, 'ownerChoice'> & {
	readonly random: Random;
	/** Called with the other daemons that may own open batches and with this daemon's work, which is reported to them. */
	readonly onTick: (owners: readonly PeerDaemon[], work: OwnWork, now: number) => void;
	/** Whether this daemon reaches the engines of a batch. */
	readonly reachesEngines: (batch: Pick<Batch, 'host' | 'path'>) => boolean;
	/** Called with the same daemons before a submitted batch is stored. */
	readonly onSubmit: (owners: readonly PeerDaemon[]) => void;
};

/** The batches of one daemon, with the calls that keep them running. */
export type BatchService = Batches & {
	/** Runs the owned batches; called every `BATCH_TICK_MS`, and when servers have changed. */
	readonly tick: (now: number) => void;
	/** Records the number of open batches that another daemon reports. */
	readonly recordOpenBatches: (owner: string, open: number) => void;
	/** Name of the daemon that owns a batch, as far as this daemon knows. */
	readonly findKnownOwner: (batchId: string) => string | undefined;
	/** The daemon that owns a batch, as far as this daemon knows, or would own it if it were submitted here now; undefined when that needs calls to other daemons. */
	readonly previewOwner: (batch: Pick<Batch, 'id' | 'host' | 'path'>, now: number) => OwnerPreview | undefined;
};

/** The owner of a batch, and whether it owns it already. */
export type OwnerPreview = {
	readonly name: string;
	readonly isKnown: boolean;
};

const ANNOUNCE_TIMEOUT_MS = 1000;
/** Time between checks of the owned batches, for unwritten results and slow engines. */
const TICK_MS = 50;
const RETRY_AFTER_MS = 500;
const STATUS_UNAVAILABLE = 503;
/** Age from which on a log with a write of unknown outcome is read again before it is served: results that were read must be listed everywhere a second later. */
const UNSETTLED_VIEW_MS = 500;
/** Time without progress after which a batch whose engines are out of reach is handed over, and time between two trials. */
const STALLED_MS = 1500;
const HAND_OVER_PERIOD_MS = 2000;

function unavailable(step: string, peer: string, reason: string): Failure {
	return createNotRun('unavailable', {step, peer}, reason, RETRY_AFTER_MS);
}

type OwnedCall = NonNullable<ReturnType<typeof decodeOwnedCall>>;

/** How long a batch whose engines are out of reach has made no progress. */
type Stall = {
	readonly progress: number;
	readonly since: number;
	readonly triedAt: number;
};

/** Creates the batches of one daemon. */
export function createBatchService(dependencies: BatchServiceDependencies): BatchService {
	const {
		mesh, clock, loop, log, metrics,
	} = dependencies;
	const pauses = createPauseRecord(readClocks(clock));
	const opened = createEmitter<OpenedBatch>();
	let leaving = false;
	const isLeaving = (): boolean => leaving;
	const batches = createHeldBatches({...dependencies, isLeaving});
	const calls = createOwnerCalls({...dependencies, batches, isLeaving});
	const submissions = createSubmissions({
		...dependencies, batches, calls, isLeaving, onStored: announce,
	});

	const stalls = new Map<string, Stall>();

	/**
	 * Hands batches over that do not go on because this daemon does not reach their engines. Mostly they go on over other daemons' links, and
	 * then they stay, as a move interrupts all runs.
	 */
	function handOverCutOff(now: number): void {
		const owned = batches.all().filter(entry => entry.owner?.isActive() === true);
		const ownedIds = new Set(owned.map(({batch}) => batch.id));
		[...stalls.keys()].filter(id => !ownedIds.has(id)).forEach(id => {
			stalls.delete(id);
		});
		owned.forEach(entry => {
			if (dependencies.reachesEngines(entry.batch)) {
				stalls.delete(entry.batch.id);
				return;
			}

			const progress = entry.owner!.progress();
			const known = stalls.get(entry.batch.id);
			const stall = known?.progress === progress ? known : {progress, since: now, triedAt: known?.triedAt ?? Number.NEGATIVE_INFINITY};
			stalls.set(entry.batch.id, stall);
			if (!leaving && now - stall.since >= STALLED_MS && now - stall.triedAt >= HAND_OVER_PERIOD_MS) {
				stalls.set(entry.batch.id, {...stall, triedAt: now});
				void calls.handOverCutOff(entry);
			}
		});
	}

	async function waitForResults(entry: HeldBatch, after: number, waitMs: number): Promise<void> {
		if (waitMs <= 0 || entry.batchLog.results().length > after) {
			return;
		}

		await new Promise<void>(resolve => {
			const timer = loop.after(waitMs, () => {
				finish();
			});
			const unsubscribe = entry.onDidChange(() => {
				if (entry.batchLog.results().length > after || !batches.isOwnedHere(entry)) {
					finish();
				}
			});

			function finish(): void {
				timer.dispose();
				unsubscribe();
				resolve();
			}
		});
	}

	function page(entry: HeldBatch, after: number): ResultPage {
		return entry.batchLog.page(after, entry.batch.items.length);
	}

	/**
	 * Reads the log from the store if others may have read more of it: after a pause of this daemon, as another one may have taken the batch over
	 * meanwhile, and while the outcome of a write is unknown, as the store may have done it.
	 */
	async function confirmLog({batch, batchLog, writer}: HeldBatch): Promise<Result<void, Failure>> {
		const now = readClocks(clock);
		const resumedAt = pauses.resumedAt(now);
		const isUnsettled = writer.hasUnsettledWrite();
		const since = isUnsettled ? Math.max(resumedAt, now.monotonic - UNSETTLED_VIEW_MS) : resumedAt;
		if (batchLog.isEnded() || writer.confirmedAt() >= since) {
			return ok();
		}

		const confirmed = await writer.confirmSince(since);
		metrics.count('batch.confirmed_before_read', 1, {cause: isUnsettled ? 'write' : 'pause', outcome: confirmed.isOk() ? 'confirmed' : 'failed'});
		log.info('batch log is read before it is served', {
			batchId: batch.id, cause: isUnsettled ? 'the outcome of a write is unknown' : 'this daemon has paused', owner: batchLog.owner().name, outcome: confirmed.isOk() ? 'confirmed' : confirmed.error.message,
		});
		return confirmed;
	}

	/** Waits for results, and returns those of a log that nobody can have read more of. The wait itself may span a pause. */
	async function readHere(entry: HeldBatch, after: number, waitMs: number): Promise<Result<ResultPage, Failure>> {
		await waitForResults(entry, after, waitMs);
		const confirmed = await confirmLog(entry);
		return confirmed.map(() => page(entry, after));
	}

	function announce(batch: Batch): void {
		const owner = mesh.self;
		const batchId = batch.id;
		const needs: OpenedBatch = {model: batch.model, oldestVersion: batch.oldestVersion};
		opened.fire(needs);
		mesh.others().forEach(peer => {
			void mesh.call(peer, 'batch-announce', {
				batchId, owner, needs, organisation: batch.organisation ?? null,
			}, ANNOUNCE_TIMEOUT_MS).then(reply => {
				if (reply.isErr()) {
					log.debug('batch not announced', {batchId, peer: peer.name, reason: reply.error.message});
				}
			});
		});
	}

	function readBodyHere(entry: HeldBatch, itemId: string): Result<Uint8Array, Failure> {
		const item = entry.batch.items.find(candidate => candidate.id === itemId);
		return item === undefined ? err(createNotFoundFailure(itemId)) : ok(Buffer.from(item.body, 'base64'));
	}

	async function endHere(entry: HeldBatch): Promise<Result<void, Failure>> {
		return entry.writer.append(writeId => (entry.batchLog.isEnded() ? undefined : {type: 'end', writeId}));
	}

	function judge(batchId: string, organisation: string | undefined, reader: BatchReader | undefined): BatchAccess {
		const access = decideAccess(organisation, reader);
		if (access !== 'allowed') {
			metrics.count('batch.access_refused', 1, {access});
			log.info('batch not given to a reader', {batchId, access});
		}

		return access;
	}

	function checkAccess(batchId: string, organisation: string | undefined, reader: BatchReader | undefined): Result<void, Failure> {
		const access = judge(batchId, organisation, reader);
		return access === 'allowed'
			? ok()
			: err(access === 'hidden' ? createNotFoundFailure(batchId) : unavailable('check reader', batchId, 'the organisation of the reader is not known'));
	}

	/** Runs an operation for a reader at the owner or here. The organisation is checked before another daemon is called, as an owner of an earlier build does not check it. */
	async function withOwnerFor<T>(batchId: string, reader: BatchReader | undefined, remote: (owner: PeerDaemon) => Promise<Result<PeerReply | undefined, Failure>>, read: (reply: PeerReply) => Result<T, Failure>, local: (entry: HeldBatch) => Promise<Result<T, Failure>>): Promise<Result<T, Failure>> {
		const organisation = reader?.kind === 'ofOrganisation' ? await batches.findOrganisation(batchId) : ok(undefined);
		const checked = organisation.andThen(known => checkAccess(batchId, known, reader));
		return checked.isErr()
			? err(checked.error)
			: calls.withOwner<T>(batchId, remote, read, async entry => {
				const allowed = checkAccess(batchId, entry.batch.organisation, reader);
				return allowed.isErr() ? err(allowed.error) : local(entry);
			});
	}

	function handleOwned(name: string, handler: (entry: HeldBatch, call: OwnedCall) => Promise<PeerReply>): void {
		handleDecoded(mesh, log, name, decodeOwnedCall, async call => {
			const entry = batches.get(call.batchId);
			if (entry === undefined || !batches.isServedHere(entry) || call.incarnation !== mesh.self.incarnation) {
				return {status: 410, body: null};
			}

			const access = judge(call.batchId, entry.batch.organisation, call.reader);
			return access === 'allowed' ? handler(entry, call) : {status: access === 'hidden' ? 404 : 503, body: null};
		});
	}

	handleOwned(READ_CALL, async (entry, {after = 0, waitMs = 0}) => {
		const results = await readHere(entry, after, waitMs);
		return results.match(body => ({status: 200, body}), () => ({status: 503, body: null}));
	});
	handleOwned('batch-body', async (entry, {itemId = ''}) => readBodyHere(entry, itemId).match(
		bytes => ({status: 200, body: Buffer.from(bytes).toString('base64')}),
		() => ({status: 404, body: null}),
	));
	handleOwned('batch-end', async entry => {
		const ended = await endHere(entry);
		return {status: ended.isOk() ? 200 : 503, body: null};
	});
	handleDecoded(mesh, log, 'batch-submit', decodeSubmission, async ({batch}) => {
		const stored = await submissions.storeForwarded(batch);
		return {status: stored.isOk() ? 200 : (stored.error.effect === 'notRun' ? 503 : 500), body: null};
	});
	handleDecoded(mesh, log, 'batch-announce', decodeAnnouncement, async ({
		batchId, owner, needs, organisation,
	}) => {
		if (batches.get(batchId) === undefined) {
			batches.cacheOwner(batchId, owner);
			if (organisation !== undefined) {
				batches.cacheOrganisation(batchId, organisation ?? undefined);
			}
		}

		opened.fire(needs);
		return {status: 200, body: null};
	});
	handleDecoded(mesh, log, 'batch-adopt', decodeAdoption, async ({batchId, owner, partials}) => {
		const adopted = await calls.adopt(batchId, owner, `handed over by ${owner.name}`, partials);
		return {status: adopted.isOk() && batches.isServedHere(adopted.value) ? 200 : 503, body: null};
	});

	function checkReply(reply: PeerReply, step: string, batchId: string): Result<PeerReply, Failure> {
		if (reply.status === 404) {
			return err(createNotFoundFailure(batchId));
		}

		return reply.status === 200 ? ok(reply) : err(unavailable(step, batchId, `the owner replied with status ${reply.status}`));
	}

	return {
		submit: submissions.submit,
		async read(batchId, after, waitMs, reader) {
			return withOwnerFor<ResultPage>(
				batchId,
				reader,
				async owner => {
					const reply = await calls.call(batchId, owner, READ_CALL, {after, waitMs, reader}, waitMs + OWNER_REPLY_MS);
					// An owner that can't confirm its log is replaced by the store for this read.
					return reply.andThen(answer => (answer?.status === STATUS_UNAVAILABLE ? err(unavailable('read batch', owner.name, 'the owner can not confirm its log')) : ok(answer)));
				},
				reply => checkReply(reply, 'read batch', batchId).andThen<ResultPage, Failure>(checked => {
					const read = decodePage(checked.body);
					return read === undefined ? err(unavailable('read batch', batchId, 'the page of the owner can not be decoded')) : ok(read);
				}),
				async entry => readHere(entry, after, batches.isOwnedHere(entry) ? waitMs : 0),
			);
		},
		async readBody(batchId, itemId, reader) {
			const here = batches.get(batchId);
			if (here !== undefined) {
				return checkAccess(batchId, here.batch.organisation, reader).andThen(() => readBodyHere(here, itemId));
			}

			return withOwnerFor<Uint8Array>(
				batchId,
				reader,
				async owner => calls.call(batchId, owner, 'batch-body', {itemId, reader}, OWNER_REPLY_MS),
				reply => checkReply(reply, 'read body', itemId).map(checked => Buffer.from(String(checked.body), 'base64')),
				async entry => readBodyHere(entry, itemId),
			);
		},
		async end(batchId, reader) {
			return withOwnerFor<void>(
				batchId,
				reader,
				async owner => calls.call(batchId, owner, 'batch-end', {reader}, OWNER_REPLY_MS),
				reply => checkReply(reply, 'end batch', batchId).map(() => undefined),
				endHere,
			);
		},
		async handOver() {
			leaving = true;
			await calls.handOver();
		},
		onDidOpen: opened.event,
		recordOpenBatches: batches.recordOpenBatches,
		findKnownOwner: batchId => batches.cachedOwner(batchId)?.name,
		previewOwner(batch, now) {
			const known = batches.cachedOwner(batch.id);
			if (known !== undefined || !dependencies.reachesEngines(batch)) {
				return known === undefined ? undefined : {name: known.name, isKnown: true};
			}

			const chosen = dependencies.ownerChoice.choose(batch.id, mesh.self, mesh.othersByReachability(), batches.countOpen, now) ?? mesh.self;
			return {name: chosen.name, isKnown: false};
		},
		tick(now) {
			pauses.resumedAt(readClocks(clock));
			const active = batches.all().flatMap(entry => (entry.owner?.isActive() === true ? [entry.owner] : []));
			const demands = active.map(owner => owner.demand(now)).filter(demand => demand.slacksMs.length + demand.hopeless > 0);
			dependencies.startPriorities.applyReport(mesh.self.name, demands, now);
			dependencies.onTick(batches.listOwners(), {demands, open: active.length}, now);
			batches.all().forEach(entry => {
				entry.owner?.tick(now);
			});
			handOverCutOff(now);
		},
	};
}

/** Time between calls of `tick`, in milliseconds. */
export const BATCH_TICK_MS = TICK_MS;
