/** The batches whose payload and log one daemon holds, and what it believes of the owners of the others. */
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import {createEmitter} from '../../base/common/event.js';
import type {ObjectApi} from '../../adapters/common/object-api.js';
import type {PeerDaemon, PeerMesh} from '../../peers/common/peer-mesh.js';
import type {
	Batch, LogRecord, PartialText, StoredBatch,
} from '../common/batch.js';
import {createBatchLog, type BatchLog} from '../common/batch-log.js';
import {chooseLongestTexts} from '../common/text-parts.js';
import {createBatchOwner, type BatchOwner, type OwnerParts} from './batch-owner.js';
import {
	createLogWriter, kindOfLog, readRecord, type LogWriter,
} from './log-writer.js';

/** A batch whose payload and log this daemon holds. */
export type HeldBatch = {
	readonly batch: Batch;
	readonly batchLog: BatchLog;
	readonly writer: LogWriter;
	/** Runs the batch; undefined where another daemon owns it. */
	owner: BatchOwner | undefined;
	readonly onDidChange: (listener: () => void) => () => void;
};

/** What the held batches work with. */
export type HeldBatchParts = Omit<OwnerParts, 'batchLog' | 'writer' | 'knownSince' | 'partials' | 'isTakenOver'> & {
	readonly api: ObjectApi;
	readonly mesh: PeerMesh;
	/** Age from which a batch's objects are removed, in milliseconds. */
	readonly retentionMs: number;
};

/** The batches of one daemon. */
export type HeldBatches = {
	readonly get: (batchId: string) => HeldBatch | undefined;
	readonly all: () => readonly HeldBatch[];
	/** Holds a batch with the records of its log; `createdAt` is the time at which its log was known to be empty. */
	readonly hold: (batch: Batch, firstOwner: PeerDaemon, records: readonly LogRecord[], createdAt?: number) => HeldBatch;
	/** Reads a batch and its log from the store. */
	readonly load: (batchId: string) => Promise<Result<HeldBatch, Failure>>;
	/** Starts to run a batch whose newest owner is this daemon. */
	readonly own: (entry: HeldBatch, partials: readonly PartialText[]) => void;
	/** Whether the log names this run of this daemon as the owner. */
	readonly isOwned: (entry: HeldBatch) => boolean;
	/** The owner as far as this daemon knows. */
	readonly believedOwner: (batchId: string) => PeerDaemon | undefined;
	readonly believe: (batchId: string, owner: PeerDaemon) => void;
	/** Reads the owner from the store where it is not known. */
	readonly findOwner: (batchId: string) => Promise<Result<PeerDaemon, Failure>>;
	/** Other daemons that own batches which may be open. */
	readonly listOwners: () => readonly PeerDaemon[];
	/** Notes how many open batches a daemon says that it owns. */
	readonly noteOpen: (name: string, open: number) => void;
	/** Batches of a daemon that may be open. */
	readonly countOpen: (name: string) => number;
	/** Removes a batch's objects once it is old enough. */
	readonly retire: (batchId: string) => void;
};

/** Kind of the objects that hold batches. */
export const KIND_OF_BATCHES = 'batches';

/** Whether two entries name the same run of the same daemon. */
export function isSameDaemon(a: PeerDaemon, b: PeerDaemon): boolean {
	return a.name === b.name && a.incarnation === b.incarnation;
}

/** The failure of a call for something that is not there. */
export function notFound(batchId: string): Failure {
	return createNotRun('notFound', {step: 'find batch', peer: batchId}, 'no such batch');
}

/** Creates the batches of a daemon that holds none. */
export function createHeldBatches(parts: HeldBatchParts): HeldBatches {
	const {
		api, mesh, clock, loop, log,
	} = parts;
	const held = new Map<string, HeldBatch>();
	const ownerOf = new Map<string, PeerDaemon>();
	/** When the owner of a batch was heard of. */
	const heardAt = new Map<string, number>();
	const saidOpen = new Map<string, {readonly open: number; readonly owner: PeerDaemon | undefined; readonly at: number}>();

	function noteRecord(batchId: string, record: LogRecord): void {
		const known = held.get(batchId);
		if (record.type === 'owner') {
			believe(batchId, record.owner);
			if (!isSameDaemon(record.owner, mesh.self) && known?.owner !== undefined) {
				log.info('batch was taken over', {batchId, by: record.owner.name});
				known.owner.dispose();
				known.owner = undefined;
			}
		}

		if (record.type === 'end') {
			log.info('batch ended', {batchId, listed: known?.batchLog.results().length});
			known?.owner?.dispose();
		}
	}

	function hold(batch: Batch, firstOwner: PeerDaemon, records: readonly LogRecord[], createdAt?: number): HeldBatch {
		const batchLog = createBatchLog(firstOwner);
		const emitter = createEmitter<void>();
		records.forEach(record => {
			batchLog.apply(record);
		});
		believe(batch.id, batchLog.owner());
		const writer = createLogWriter(batch.id, batchLog, {
			api,
			clock,
			log,
			incarnation: `${mesh.self.name}.${mesh.self.incarnation}`,
			...(createdAt !== undefined && {createdAt}),
			onDidApply(record) {
				noteRecord(batch.id, record);
				emitter.fire();
			},
		});
		const entry: HeldBatch = {
			batch,
			batchLog,
			writer,
			owner: undefined,
			onDidChange(listener) {
				const subscription = emitter.event(listener);
				return () => {
					subscription.dispose();
				};
			},
		};
		held.set(batch.id, entry);
		return entry;
	}

	function own(entry: HeldBatch, partials: readonly PartialText[]): void {
		const now = clock.monotonic();
		entry.owner = createBatchOwner(entry.batch, {
			...parts, batchLog: entry.batchLog, writer: entry.writer, knownSince: now, isTakenOver: entry.batchLog.length() > 0, partials: chooseLongestTexts([...entry.batchLog.texts(), ...partials]),
		});
		log.info('own batch', {
			batchId: entry.batch.id, items: entry.batch.items.length, listed: entry.batchLog.results().length, oldestVersion: entry.batch.oldestVersion,
		});
		entry.owner.pump(now);
	}

	function isOwned(entry: HeldBatch): boolean {
		return isSameDaemon(entry.batchLog.owner(), mesh.self);
	}

	async function readStored(batchId: string): Promise<Result<StoredBatch | undefined, Failure>> {
		const found = await api.read({kind: KIND_OF_BATCHES, name: batchId});
		// Only daemons write to this kind.
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		return found.map(object => object?.spec as StoredBatch | undefined);
	}

	/** Reads a batch and its log from the store. */
	async function load(batchId: string): Promise<Result<HeldBatch, Failure>> {
		const known = held.get(batchId);
		if (known !== undefined) {
			const caughtUp = await known.writer.catchUp();
			return caughtUp.map(() => known);
		}

		const stored = await readStored(batchId);
		if (stored.isErr()) {
			return err(stored.error);
		}

		if (stored.value === undefined) {
			return err(notFound(batchId));
		}

		const listed = await api.list(kindOfLog(batchId));
		if (listed.isErr()) {
			return err(listed.error);
		}

		const records = listed.value.objects.toSorted((a, b) => (a.name < b.name ? -1 : 1)).flatMap(object => readRecord(object.spec) ?? []);
		return ok(held.get(batchId) ?? hold(stored.value.batch, stored.value.owner, records));
	}

	async function findOwner(batchId: string): Promise<Result<PeerDaemon, Failure>> {
		const known = ownerOf.get(batchId);
		if (known !== undefined) {
			return ok(known);
		}

		const loaded = await load(batchId);
		return loaded.map(entry => entry.batchLog.owner());
	}

	/** Owners of the batches that are not known to have ended, one for each. What an owner said last goes before what was heard earlier. */
	function listOpen(): readonly PeerDaemon[] {
		return [...ownerOf]
			.filter(([batchId, owner]) => held.get(batchId)?.batchLog.isEnded() !== true && !((saidOpen.get(owner.name)?.at ?? Number.NEGATIVE_INFINITY) > (heardAt.get(batchId) ?? 0)))
			.map(([, owner]) => owner);
	}

	function believe(batchId: string, owner: PeerDaemon): void {
		ownerOf.set(batchId, owner);
		heardAt.set(batchId, clock.monotonic());
	}

	/** Other daemons that own batches which may be open. */
	function listOwners(): readonly PeerDaemon[] {
		const owners = [...listOpen(), ...[...saidOpen.values()].flatMap(({open, owner}) => (open > 0 && owner !== undefined ? [owner] : []))].filter(owner => owner.name !== mesh.self.name);
		return [...new Map(owners.map(owner => [owner.name, owner])).values()];
	}

	function retire(batchId: string): void {
		loop.after(parts.retentionMs, () => {
			void removeStored(batchId);
		});
	}

	async function removeStored(batchId: string): Promise<void> {
		const entry = held.get(batchId);
		if (entry === undefined || !isOwned(entry)) {
			held.delete(batchId);
			return;
		}

		const names = Array.from({length: entry.batchLog.length()}, (_, index) => String(index).padStart(6, '0'));
		await names.reduce(async (previous, name) => {
			await previous;
			await api.remove({kind: kindOfLog(batchId), name});
		}, Promise.resolve());
		const removed = await api.remove({kind: KIND_OF_BATCHES, name: batchId});
		log.info('removed batch', {batchId, outcome: removed.isOk() ? 'removed' : removed.error.message});
		held.delete(batchId);
		ownerOf.delete(batchId);
		heardAt.delete(batchId);
	}

	return {
		get: batchId => held.get(batchId),
		all: () => [...held.values()],
		hold,
		load,
		own,
		isOwned,
		believedOwner: batchId => ownerOf.get(batchId),
		believe,
		noteOpen(name, open) {
			const owner = [...ownerOf.values()].findLast(candidate => candidate.name === name);
			saidOpen.set(name, {open, owner, at: clock.monotonic()});
		},
		findOwner,
		listOwners,
		countOpen: name => (saidOpen.get(name)?.open ?? 0) + listOpen().filter(owner => owner.name === name).length,
		retire,
	};
}
