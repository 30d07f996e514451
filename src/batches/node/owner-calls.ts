/** The way to the owner of a batch, and its replacement when it is gone. */
import {err, ok, type Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import type {Clock} from '../../base/common/clock.js';
import type {Random} from '../../base/common/random.js';
import type {Log} from '../../kernel/common/log.js';
import type {PeerDaemon, PeerMesh, PeerReply} from '../../peers/common/peer-mesh.js';
import {listStrong} from '../../peers/common/strong-daemons.js';
import type {PartialText} from '../common/batch.js';
import {isSameDaemon, type HeldBatch, type HeldBatches} from './held-batches.js';

/** What the calls work with. */
export type OwnerCallParts = {
	readonly batches: HeldBatches;
	readonly mesh: PeerMesh;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	/** Whether this daemon is about to stop and takes no batch over. */
	readonly isLeaving: () => boolean;
};

/** Calls to owners. */
export type OwnerCalls = {
	/** Calls the owner. Undefined means that it no longer owns the batch or is gone for good. */
	readonly call: (batchId: string, owner: PeerDaemon, name: string, body: Record<string, unknown>, timeoutMs: number) => Promise<Result<PeerReply | undefined, Failure>>;
	/** Runs an operation at the owner, or here once the batch was taken over or has ended. */
	readonly withOwner: <T>(batchId: string, remote: (owner: PeerDaemon) => Promise<Result<PeerReply | undefined, Failure>>, read: (reply: PeerReply) => Result<T, Failure>, local: (entry: HeldBatch) => Promise<Result<T, Failure>>) => Promise<Result<T, Failure>>;
	/** Takes a batch over from an owner that is gone or hands it over, with its texts; does nothing when the log names another owner by now. */
	readonly adopt: (batchId: string, from: PeerDaemon, reason: string, partials?: readonly PartialText[]) => Promise<Result<HeldBatch, Failure>>;
	/** Hands all batches that run here to other daemons, as far as any takes them. */
	readonly handOver: () => Promise<void>;
};

/** An owner that has not replied since this long is replaced, once a second call has failed too. */
const OWNER_SILENCE_MS = 1500;
const HAND_OVER_TIMEOUT_MS = 1500;

/** Creates the calls. */
export function createOwnerCalls(parts: OwnerCallParts): OwnerCalls {
	const {
		batches, mesh, clock, random, log, isLeaving,
	} = parts;
	const silentSince = new Map<string, number>();
	const adoptions = new Map<string, Promise<Result<HeldBatch, Failure>>>();

	async function takeOver(batchId: string, from: PeerDaemon, reason: string, partials: readonly PartialText[]): Promise<Result<HeldBatch, Failure>> {
		const loaded = await batches.load(batchId);
		if (loaded.isErr()) {
			return loaded;
		}

		const entry = loaded.value;
		const isOwnedAlready = batches.isOwned(entry) && entry.owner !== undefined;
		if (entry.batchLog.isEnded() || isOwnedAlready || isLeaving()) {
			return ok(entry);
		}

		const before = entry.batchLog.owner();
		if (!isSameDaemon(before, from)) {
			log.info('batch has another owner already', {batchId, from: from.name, owner: before.name});
			return ok(entry);
		}

		const appended = await entry.writer.append(writeId => {
			const hasNewOwner = !isSameDaemon(entry.batchLog.owner(), before);
			return hasNewOwner || entry.batchLog.isEnded() ? undefined : {type: 'owner', writeId, owner: mesh.self};
		});
		log.info('take over batch', {
			batchId, from: from.name, reason, outcome: appended.isOk() ? entry.batchLog.owner().name : appended.error.message,
		});
		if (appended.isErr()) {
			return err(appended.error);
		}

		silentSince.delete(batchId);
		if (batches.isOwned(entry) && entry.owner === undefined && !entry.batchLog.isEnded()) {
			batches.own(entry, partials);
		}

		return ok(entry);
	}

	async function adopt(batchId: string, from: PeerDaemon, reason: string, partials: readonly PartialText[] = []): Promise<Result<HeldBatch, Failure>> {
		const pending = adoptions.get(batchId) ?? takeOver(batchId, from, reason, partials);
		adoptions.set(batchId, pending);
		const outcome = await pending;
		adoptions.delete(batchId);
		return outcome;
	}

	/** Calls the owner. Undefined means that it no longer owns the batch or is gone for good. */
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
		const isGone = reply.error.effect === 'notRun' && reply.error.message.includes('ECONNREFUSED');
		const isSilent = earlier !== undefined && clock.monotonic() - since >= OWNER_SILENCE_MS;
		return isGone || isSilent ? ok(undefined) : err(reply.error);
	}

	/** Runs an operation at the owner, or here once the batch was taken over or has ended. */
	async function withOwner<T>(batchId: string, remote: (owner: PeerDaemon) => Promise<Result<PeerReply | undefined, Failure>>, read: (reply: PeerReply) => Result<T, Failure>, local: (entry: HeldBatch) => Promise<Result<T, Failure>>): Promise<Result<T, Failure>> {
		const here = batches.get(batchId);
		if (here !== undefined && (batches.isOwned(here) || here.batchLog.isEnded())) {
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

	async function handOverOne(entry: HeldBatch): Promise<void> {
		const partials = entry.owner?.release() ?? [];
		entry.owner = undefined;
		const near = mesh.others().filter(peer => peer.region === mesh.self.region);
		const reachable = near.length > 0 ? near : mesh.others();
		const strong = listStrong(reachable);
		const candidates = reachable
			.map(peer => ({peer, key: random() + (strong.includes(peer) ? 0 : 1)}))
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
				batches.believe(entry.batch.id, peer);
				void entry.writer.catchUp();
			}

			return isTaken;
		}, Promise.resolve(false));
	}

	return {
		call: callOwner,
		withOwner,
		adopt,
		async handOver() {
			const running = batches.all().filter(entry => batches.isOwned(entry) && entry.owner?.isActive() === true);
			await Promise.all(running.map(async entry => handOverOne(entry)));
		},
	};
}
