/**
 * Batches at any daemon. The daemon that accepts a batch owns it; others forward to the owner, and take the batch over when
 * the owner is gone. Whatever a caller was told is in the store before, so that any daemon can tell it again.
 */
import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import {createEmitter} from '../../base/common/event.js';
import type {Random} from '../../base/common/random.js';
import type {PeerDaemon, PeerReply} from '../../peers/common/peer-mesh.js';
import type {Batch, PartialText, ResultPage} from '../common/batch.js';
import type {Batches, OpenedBatch} from '../common/batches.js';
import {createSubmissions, type SubmissionParts} from './batch-submission.js';
import {
	createHeldBatches, notFound, type HeldBatch, type HeldBatchParts,
} from './held-batches.js';
import type {OwnWork} from './load-exchange.js';
import {createOwnerCalls} from './owner-calls.js';

/** What the service works with. */
export type BatchParts = HeldBatchParts & Pick<SubmissionParts, 'ownerChoice'> & {
	readonly random: Random;
	/** Called with the other daemons that own open batches and with the own work, for what owners tell each other. */
	readonly onTick: (owners: readonly PeerDaemon[], work: OwnWork, now: number) => void;
	/** Called with the same daemons when a batch comes in. */
	readonly onSubmit: (owners: readonly PeerDaemon[]) => void;
};

/** Batches, with what drives them. */
export type BatchService = Batches & {
	readonly tick: (now: number) => void;
	/** Notes how many open batches another daemon says that it runs. */
	readonly noteOpen: (owner: string, open: number) => void;
};

/** Time for an owner's reply beyond the wait that the caller asks for. */
const OWNER_REPLY_MS = 700;
const ANNOUNCE_TIMEOUT_MS = 1000;
/** Runs are looked at this often, for results that wait to be written and engines that turned slow. */
const TICK_MS = 50;
const RETURN_AFTER_MS = 500;

function unavailable(step: string, peer: string, reason: string): Failure {
	return createNotRun('unavailable', {step, peer}, reason, RETURN_AFTER_MS);
}

/** Creates the batches of one daemon. */
export function createBatchService(parts: BatchParts): BatchService {
	const {mesh, loop, log} = parts;
	const opened = createEmitter<OpenedBatch>();
	let leaving = false;
	const isLeaving = (): boolean => leaving;
	const batches = createHeldBatches(parts);
	const calls = createOwnerCalls({...parts, batches, isLeaving});
	const submissions = createSubmissions({
		...parts, batches, calls, isLeaving, onStored: announce,
	});

	async function waitForResults(entry: HeldBatch, after: number, waitMs: number): Promise<void> {
		if (waitMs <= 0 || entry.batchLog.results().length > after) {
			return;
		}

		await new Promise<void>(resolve => {
			const timer = loop.after(waitMs, () => {
				finish();
			});
			const unsubscribe = entry.onDidChange(() => {
				if (entry.batchLog.results().length > after || !batches.isOwned(entry)) {
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

	async function readHere(entry: HeldBatch, after: number, waitMs: number): Promise<ResultPage> {
		await waitForResults(entry, after, waitMs);
		return page(entry, after);
	}

	function announce(batch: Batch): void {
		const owner = mesh.self;
		const batchId = batch.id;
		const needs: OpenedBatch = {model: batch.model, oldestVersion: batch.oldestVersion};
		opened.fire(needs);
		mesh.others().forEach(peer => {
			void mesh.call(peer, 'batch-announce', {batchId, owner, needs}, ANNOUNCE_TIMEOUT_MS).then(reply => {
				if (reply.isErr()) {
					log.debug('batch not announced', {batchId, peer: peer.name, reason: reply.error.message});
				}
			});
		});
	}

	function readBodyHere(entry: HeldBatch, itemId: string): Result<Uint8Array, Failure> {
		const item = entry.batch.items.find(candidate => candidate.id === itemId);
		return item === undefined ? err(notFound(itemId)) : ok(Buffer.from(item.body, 'base64'));
	}

	async function endHere(entry: HeldBatch): Promise<Result<void, Failure>> {
		return entry.writer.append(writeId => (entry.batchLog.isEnded() ? undefined : {type: 'end', writeId}));
	}

	/* Calls of other daemons. Bodies are what this module sent from there. */
	type PeerBody = {
		readonly batchId: string;
		readonly incarnation: string;
		readonly after: number;
		readonly waitMs: number;
		readonly itemId: string;
		readonly owner: PeerDaemon;
		readonly needs: OpenedBatch;
		readonly batch: Batch;
		readonly partials: readonly PartialText[];
	};

	function handle(name: string, handler: (body: PeerBody) => Promise<PeerReply>): void {
		mesh.handle(name, async body => {
			// Only daemons of this version's own protocol call this port.
			// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
			const call = body as PeerBody;
			return handler(call);
		});
	}

	function handleOwned(name: string, handler: (entry: HeldBatch, body: PeerBody) => Promise<PeerReply>): void {
		handle(name, async body => {
			const entry = batches.get(body.batchId);
			return entry !== undefined && batches.isOwned(entry) && body.incarnation === mesh.self.incarnation ? handler(entry, body) : {status: 410, body: null};
		});
	}

	handleOwned('batch-read', async (entry, body) => {
		const results = await readHere(entry, body.after, body.waitMs);
		return {status: 200, body: results};
	});
	handleOwned('batch-body', async (entry, body) => readBodyHere(entry, body.itemId).match(
		bytes => ({status: 200, body: Buffer.from(bytes).toString('base64')}),
		() => ({status: 404, body: null}),
	));
	handleOwned('batch-end', async entry => {
		const ended = await endHere(entry);
		return {status: ended.isOk() ? 200 : 503, body: null};
	});
	handle('batch-submit', async body => {
		const stored = await submissions.storePassedOn(body.batch);
		return {status: stored.isOk() ? 200 : (stored.error.effect === 'notRun' ? 503 : 500), body: null};
	});
	handle('batch-announce', async body => {
		if (batches.get(body.batchId) === undefined) {
			batches.believe(body.batchId, body.owner);
		}

		opened.fire(body.needs);
		return {status: 200, body: null};
	});
	handle('batch-adopt', async body => {
		const adopted = await calls.adopt(body.batchId, body.owner, `handed over by ${body.owner.name}`, body.partials);
		return {status: adopted.isOk() && batches.isOwned(adopted.value) ? 200 : 503, body: null};
	});

	function isReply(reply: PeerReply, step: string, batchId: string): Result<PeerReply, Failure> {
		if (reply.status === 404) {
			return err(notFound(batchId));
		}

		return reply.status === 200 ? ok(reply) : err(unavailable(step, batchId, `the owner answered ${reply.status}`));
	}

	return {
		submit: submissions.submit,
		async read(batchId, after, waitMs) {
			return calls.withOwner<ResultPage>(
				batchId,
				async owner => calls.call(batchId, owner, 'batch-read', {after, waitMs}, waitMs + OWNER_REPLY_MS),
				// The body is a page as the owner's own handler wrote it.
				// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
				reply => isReply(reply, 'read batch', batchId).map(whole => whole.body as ResultPage),
				async entry => ok(await readHere(entry, after, batches.isOwned(entry) ? waitMs : 0)),
			);
		},
		async readBody(batchId, itemId) {
			const here = batches.get(batchId);
			if (here !== undefined) {
				return readBodyHere(here, itemId);
			}

			return calls.withOwner<Uint8Array>(
				batchId,
				async owner => calls.call(batchId, owner, 'batch-body', {itemId}, OWNER_REPLY_MS),
				reply => isReply(reply, 'read body', itemId).map(whole => Buffer.from(String(whole.body), 'base64')),
				async entry => readBodyHere(entry, itemId),
			);
		},
		async end(batchId) {
			return calls.withOwner<void>(
				batchId,
				async owner => calls.call(batchId, owner, 'batch-end', {}, OWNER_REPLY_MS),
				reply => isReply(reply, 'end batch', batchId).map(() => undefined),
				endHere,
			);
		},
		async handOver() {
			leaving = true;
			await calls.handOver();
		},
		onDidOpen: opened.event,
		noteOpen: batches.noteOpen,
		tick(now) {
			const active = batches.all().flatMap(entry => (entry.owner?.isActive() === true ? [entry.owner] : []));
			const demands = active.map(owner => owner.demand(now)).filter(demand => demand.slacksMs.length + demand.hopeless > 0);
			parts.turns.learn(mesh.self.name, demands, now);
			parts.onTick(batches.listOwners(), {demands, open: active.length}, now);
			batches.all().forEach(entry => {
				entry.owner?.pump(now);
			});
		},
	};
}

/** How often to call `tick`, in milliseconds. */
export const BATCH_TICK_MS = TICK_MS;
