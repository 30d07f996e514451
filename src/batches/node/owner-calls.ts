/** Calls to the owner of a batch, and the replacement of an owner that is unreachable. */
import {err, ok, type Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import type {Clock} from '../../base/common/clock.js';
import type {Random} from '../../base/common/random.js';
import type {Log} from '../../kernel/common/log.js';
import {handleDecoded} from '../../peers/common/decode-call.js';
import type {PeerDaemon, PeerMesh, PeerReply} from '../../peers/common/peer-mesh.js';
import {isRefusedConnection} from '../../peers/common/process-end.js';
import {listHighCapacityDaemons} from '../../peers/common/high-capacity-daemons.js';
import type {Batch, PartialText} from '../common/batch.js';
import {decodeReachCall} from '../common/batch-schemas.js';
import {isSameDaemon, type HeldBatch, type HeldBatches} from './held-batches.js';

/** Dependencies of the calls. */
export type OwnerCallDependencies = {
	readonly batches: HeldBatches;
	readonly mesh: PeerMesh;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	/** Whether this daemon is stopping, and takes no batch over. */
	readonly isLeaving: () => boolean;
	/** Whether this daemon reaches the engines of a batch. */
	readonly reachesEngines: (batch: Pick<Batch, 'host' | 'path'>) => boolean;
};

/** Calls to owners. */
export type OwnerCalls = {
	/** Calls the owner of a batch. Undefined means that it no longer owns the batch, or that its process has probably ended or does not reply. */
	readonly call: (batchId: string, owner: PeerDaemon, name: string, body: Record<string, unknown>, timeoutMs: number) => Promise<Result<PeerReply | undefined, Failure>>;
	/** Runs an operation at the owner with `remote`, or here with `local` when this daemon owns the batch or takes it over, the batch has ended, or the call failed. */
	readonly withOwner: <T>(batchId: string, remote: (owner: PeerDaemon) => Promise<Result<PeerReply | undefined, Failure>>, read: (reply: PeerReply) => Result<T, Failure>, local: (entry: HeldBatch) => Promise<Result<T, Failure>>) => Promise<Result<T, Failure>>;
	/** Takes a batch over from an owner that is unreachable, or that hands it over with the texts `partials`. Does not take it over when the log already names another owner. */
	readonly adopt: (batchId: string, from: PeerDaemon, reason: string, partials?: readonly PartialText[]) => Promise<Result<HeldBatch, Failure>>;
	/** Asks the owner of a stored batch whether it runs it, and takes it over if it does not know that it is the owner. Resolves with the owner. */
	readonly ensureRunning: (batchId: string) => Promise<Result<PeerDaemon, Failure>>;
	/** Finds another daemon that reaches the engines of a batch. */
	readonly findReaching: (batch: Batch) => Promise<PeerDaemon | undefined>;
	/** Hands one batch over to a daemon that reaches its engines, and goes on with it here if there is none. Resolves with whether another daemon took it. */
	readonly handOverCutOff: (entry: HeldBatch) => Promise<boolean>;
	/** Hands all batches that run here over to other daemons; a batch that none accepts is not handed over. */
	readonly handOver: () => Promise<void>;
};

/** Time without a reply after which an owner is replaced, when at least two calls have failed. */
const OWNER_SILENCE_MS = 1500;
const HAND_OVER_TIMEOUT_MS = 1500;
/** Time limit of the question whether another daemon reaches the engines of a batch, and maximum number of daemons that are asked. */
const REACH_TIMEOUT_MS = 300;
const MAXIMUM_ASKED = 8;
const REACH_CALL = 'batch-reach';
/** Call that reads results at the owner of a batch. */
export const READ_CALL = 'batch-read';
/** Time limit for an owner's reply, in addition to the wait that the caller asks for. */
export const OWNER_REPLY_MS = 700;

/** Creates the calls. */
export function createOwnerCalls(dependencies: OwnerCallDependencies): OwnerCalls {
	const {
		batches, mesh, clock, random, log, isLeaving,
	} = dependencies;
	const silentSince = new Map<string, number>();
	const adoptions = new Map<string, Promise<Result<HeldBatch, Failure>>>();

	async function takeOver(batchId: string, from: PeerDaemon, reason: string, partials: readonly PartialText[]): Promise<Result<HeldBatch, Failure>> {
		const loaded = await batches.load(batchId);
		if (loaded.isErr()) {
			return loaded;
		}

		const entry = loaded.value;
		if (entry.batchLog.isEnded() || batches.isOwnedHere(entry) || isLeaving()) {
			batches.runIfOwned(entry);
			return ok(entry);
		}

		const previousOwner = entry.batchLog.owner();
		if (!isSameDaemon(previousOwner, from)) {
			log.info('batch has another owner already', {batchId, from: from.name, owner: previousOwner.name});
			return ok(entry);
		}

		entry.partials = partials;
		const appended = await entry.writer.append(writeId => {
			const hasNewOwner = !isSameDaemon(entry.batchLog.owner(), previousOwner);
			return hasNewOwner || entry.batchLog.isEnded() ? undefined : {type: 'owner', writeId, owner: mesh.self};
		});
		log.info('take over batch', {
			batchId, from: from.name, reason, outcome: appended.isOk() ? entry.batchLog.owner().name : appended.error.message,
		});
		if (appended.isErr()) {
			return err(appended.error);
		}

		silentSince.delete(batchId);
		return ok(entry);
	}

	async function adopt(batchId: string, from: PeerDaemon, reason: string, partials: readonly PartialText[] = []): Promise<Result<HeldBatch, Failure>> {
		const pending = adoptions.get(batchId) ?? takeOver(batchId, from, reason, partials);
		adoptions.set(batchId, pending);
		const outcome = await pending;
		adoptions.delete(batchId);
		return outcome;
	}

	/** Calls the owner of a batch. Undefined means that it no longer owns the batch, or that its process has ended or does not reply. */
	async function callOwner(batchId: string, owner: PeerDaemon, name: string, body: Record<string, unknown>, timeoutMs: number): Promise<Result<PeerReply | undefined, Failure>> {
		const startedAt = clock.monotonic();
		const reply = await mesh.call(owner, name, {...body, batchId, incarnation: owner.incarnation}, timeoutMs);
		if (reply.isOk()) {
			silentSince.delete(batchId);
			return ok(reply.value.status === 410 ? undefined : reply.value);
		}

		const earlier = silentSince.get(batchId);
		const since = earlier ?? startedAt;
		silentSince.set(batchId, since);
		// A partition may refuse as well. Two daemons then run the batch for a while, and its log, written under conditions, decides between them.
		const hasProbablyEnded = isRefusedConnection(reply.error);
		const isSilent = earlier !== undefined && clock.monotonic() - since >= OWNER_SILENCE_MS;
		return hasProbablyEnded || isSilent ? ok(undefined) : err(reply.error);
	}

	/** Runs an operation at the owner with `remote`, or here with `local` when this daemon owns the batch or takes it over, the batch has ended, or the call failed. */
	async function withOwner<T>(batchId: string, remote: (owner: PeerDaemon) => Promise<Result<PeerReply | undefined, Failure>>, read: (reply: PeerReply) => Result<T, Failure>, local: (entry: HeldBatch) => Promise<Result<T, Failure>>): Promise<Result<T, Failure>> {
		const here = batches.get(batchId);
		if (here !== undefined && (batches.isServedHere(here) || here.batchLog.isEnded())) {
			return local(here);
		}

		const owner = await batches.findOwner(batchId);
		if (owner.isErr()) {
			return err(owner.error);
		}

		const found = batches.get(batchId);
		if (found?.batchLog.isEnded() === true) {
			return local(found);
		}

		const reply = isSameDaemon(owner.value, mesh.self) ? ok(undefined) : await remote(owner.value);
		if (reply.isErr()) {
			const loaded = await batches.load(batchId);
			return loaded.isErr() ? err(loaded.error) : local(loaded.value);
		}

		if (reply.value !== undefined) {
			return read(reply.value);
		}

		const adopted = await adopt(batchId, owner.value, `owner ${owner.value.name} does not answer for it`);
		return adopted.isErr() ? err(adopted.error) : local(adopted.value);
	}

	/** Stops the runs of a batch that another daemon shall go on with; returns their texts. */
	function releaseRuns(entry: HeldBatch): readonly PartialText[] {
		const partials = entry.owner?.release() ?? [];
		entry.owner = undefined;
		entry.isHandedOver = true;
		return partials;
	}

	async function handOverOne(entry: HeldBatch): Promise<void> {
		const partials = releaseRuns(entry);
		const sameRegion = mesh.others().filter(peer => peer.region === mesh.self.region);
		const reachable = sameRegion.length > 0 ? sameRegion : mesh.others();
		const highCapacity = listHighCapacityDaemons(reachable);
		const candidates = reachable
			.map(peer => ({peer, key: random() + (highCapacity.includes(peer) ? 0 : 1)}))
			.toSorted((a, b) => a.key - b.key)
			.map(({peer}) => peer);
		await candidates.reduce<Promise<boolean>>(async (previous, peer) => {
			if (await previous) {
				return true;
			}

			const reply = await mesh.call(peer, 'batch-adopt', {batchId: entry.batch.id, owner: mesh.self, partials}, HAND_OVER_TIMEOUT_MS);
			const isTaken = reply.isOk() && reply.value.status === 200;
			log.info('hand over batch', {
				batchId: entry.batch.id, to: peer.name, isTaken, ...(reply.isErr() && {reason: reply.error.message}),
			});
			if (isTaken) {
				batches.cacheOwner(entry.batch.id, peer);
				void entry.writer.catchUp();
			}

			return isTaken;
		}, Promise.resolve(false));
	}

	handleDecoded(mesh, log, REACH_CALL, decodeReachCall, async batch => ({status: !isLeaving() && dependencies.reachesEngines(batch) ? 200 : 503, body: null}));

	/** Finds a daemon that reaches the engines of a batch, those with few open batches first. A daemon of an earlier build does not say whether it does. */
	async function findReaching({host, path}: Batch): Promise<PeerDaemon | undefined> {
		const candidates = mesh.othersByReachability()
			.map(peer => ({peer, cost: batches.countOpen(peer.name) + random() + (peer.region === mesh.self.region ? 0 : 1)}))
			.toSorted((a, b) => a.cost - b.cost)
			.slice(0, MAXIMUM_ASKED)
			.map(({peer}) => peer);
		const reaching = await Promise.all(candidates.map(async peer => {
			const reply = await mesh.call(peer, REACH_CALL, {host, path}, REACH_TIMEOUT_MS);
			return reply.isOk() && reply.value.status === 200;
		}));
		return candidates.find((_, index) => reaching[index] === true);
	}

	async function handOverCutOff(entry: HeldBatch): Promise<boolean> {
		const peer = await findReaching(entry.batch);
		if (peer === undefined || isLeaving() || entry.owner === undefined) {
			return false;
		}

		const partials = releaseRuns(entry);
		const reply = await mesh.call(peer, 'batch-adopt', {batchId: entry.batch.id, owner: mesh.self, partials}, HAND_OVER_TIMEOUT_MS);
		const isTaken = reply.isOk() && reply.value.status === 200;
		log.info('hand over batch', {
			batchId: entry.batch.id, to: peer.name, isTaken, cause: 'the engines can not be reached', ...(reply.isErr() && {reason: reply.error.message}),
		});
		if (isTaken) {
			batches.cacheOwner(entry.batch.id, peer);
		}

		// The log says who owns the batch now; a call without a reply may have been carried out.
		await entry.writer.catchUp();
		if (!isTaken) {
			entry.isHandedOver = false;
			entry.partials = partials;
			batches.runIfOwned(entry);
		}

		return isTaken;
	}

	async function ensureRunning(batchId: string): Promise<Result<PeerDaemon, Failure>> {
		return withOwner(
			batchId,
			async owner => callOwner(batchId, owner, READ_CALL, {after: 0, waitMs: 0, reader: {kind: 'any'}}, OWNER_REPLY_MS),
			() => ok(batches.cachedOwner(batchId) ?? mesh.self),
			async entry => ok(entry.batchLog.owner()),
		);
	}

	return {
		ensureRunning,
		findReaching,
		handOverCutOff,
		call: callOwner,
		withOwner,
		adopt,
		async handOver() {
			const running = batches.all().filter(entry => batches.isOwnedHere(entry) && entry.owner?.isActive() === true);
			await Promise.all(running.map(async entry => handOverOne(entry)));
		},
	};
}
