/** The batches whose payload and log one daemon holds, and a cache of the owners of other batches. */
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import {createEmitter} from '../../base/common/event.js';
import {createSuspensionRecord} from '../../base/node/suspension-record.js';
import type {ObjectApi} from '../../adapters/common/object-api.js';
import type {PeerDaemon, PeerMesh} from '../../peers/common/peer-mesh.js';
import type {
	Batch, LogRecord, PartialText, StoredBatch,
} from '../common/batch.js';
import {createBatchLog, type BatchLog} from '../common/batch-log.js';
import {decodeStoredBatch} from '../common/batch-schemas.js';
import {chooseLongestTexts} from '../common/text-parts.js';
import {createBatchOwner, type BatchOwner, type OwnerDependencies} from './batch-owner.js';
import {
	createLogWriter, kindOfLog, readRecord, type LogWriter,
} from './log-writer.js';

/** A batch whose payload and log this daemon holds. */
export type HeldBatch = {
	readonly batch: Batch;
	readonly batchLog: BatchLog;
	readonly writer: LogWriter;
	/** Runs the batch; undefined while another daemon owns it. */
	owner: BatchOwner | undefined;
	/** Whether this daemon has stopped to run the batch because it gives it to another one. */
	isHandedOver: boolean;
	/** Texts that the previous owner handed over. */
	partials: readonly PartialText[];
	readonly onDidChange: (listener: () => void) => () => void;
};

/** Dependencies of the held batches. */
export type HeldBatchDependencies = Omit<OwnerDependencies, 'batchLog' | 'writer' | 'knownSince' | 'partials' | 'isTakenOver' | 'resumedAt'> & {
	readonly api: ObjectApi;
	readonly mesh: PeerMesh;
	/** Age at which the stored objects of a batch are removed, in milliseconds. */
	readonly retentionMs: number;
	/** Whether this daemon is stopping, and runs no further batch. */
	readonly isLeaving: () => boolean;
};

/** The batches of one daemon. */
export type HeldBatches = {
	readonly get: (batchId: string) => HeldBatch | undefined;
	readonly all: () => readonly HeldBatch[];
	/** Adds a batch with the records of its log; `createdAt` is the monotonic time at which its log was known to be empty. */
	readonly hold: (batch: Batch, firstOwner: PeerDaemon, records: readonly LogRecord[], createdAt?: number) => HeldBatch;
	/** Reads a batch and its log from the store, and holds it. */
	readonly load: (batchId: string) => Promise<Result<HeldBatch, Failure>>;
	/** Runs a batch whose log names this run of this daemon as its owner, unless it runs, has ended, or is being handed over. */
	readonly runIfOwned: (entry: HeldBatch) => void;
	/** Whether the log names this run of this daemon as the owner. */
	readonly isOwnedHere: (entry: HeldBatch) => boolean;
	/** Whether this daemon owns a batch and runs it, or knows what becomes of it: it has ended or is being handed over. */
	readonly isServedHere: (entry: HeldBatch) => boolean;
	/** The last known owner of a batch; it may be outdated. */
	readonly cachedOwner: (batchId: string) => PeerDaemon | undefined;
	readonly cacheOwner: (batchId: string, owner: PeerDaemon) => void;
	/** Returns the last known owner, or reads the owner from the store when none is known. */
	readonly findOwner: (batchId: string) => Promise<Result<PeerDaemon, Failure>>;
	/** Records the organisation of a batch, which never changes. */
	readonly cacheOrganisation: (batchId: string, organisation: string | undefined) => void;
	/** Returns the organisation of a batch, read from the store when it is not known here; undefined for a batch of none. */
	readonly findOrganisation: (batchId: string) => Promise<Result<string | undefined, Failure>>;
	/** Lists the other daemons that may own open batches. */
	readonly listOwners: () => readonly PeerDaemon[];
	/** Records the number of open batches that another daemon reports. */
	readonly recordOpenBatches: (name: string, open: number) => void;
	/** Number of batches of a daemon that may be open. */
	readonly countOpen: (name: string) => number;
	/** Removes the stored objects of a batch after `retentionMs`. */
	readonly scheduleRemoval: (batchId: string) => void;
};

/** Kind of the store's objects that hold batches. */
export const KIND_OF_BATCHES = 'batches';

/** Whether two entries name the same run of the same daemon. */
export function isSameDaemon(a: PeerDaemon, b: PeerDaemon): boolean {
	return a.name === b.name && a.incarnation === b.incarnation;
}

/** Creates the failure of a call for a batch or item that does not exist. */
export function createNotFoundFailure(batchId: string): Failure {
	return createNotRun('notFound', {step: 'find batch', peer: batchId}, 'no such batch');
}

/** Creates the batches of a daemon that holds none. */
export function createHeldBatches(dependencies: HeldBatchDependencies): HeldBatches {
	const {
		api, mesh, clock, loop, log,
	} = dependencies;
	const held = new Map<string, HeldBatch>();
	const {resumedAt} = createSuspensionRecord(clock);
	const ownerByBatch = new Map<string, PeerDaemon>();
	/** Monotonic time at which the owner of each batch was cached. */
	const ownerCachedAt = new Map<string, number>();
	const organisationByBatch = new Map<string, string | undefined>();
	const reportedOpen = new Map<string, {readonly open: number; readonly owner: PeerDaemon | undefined; readonly at: number}>();

	function handleRecord(batchId: string, record: LogRecord): void {
		const known = held.get(batchId);
		if (record.type === 'owner') {
			cacheOwner(batchId, record.owner);
			if (!isSameDaemon(record.owner, mesh.self) && known?.owner !== undefined) {
				log.info('batch was taken over', {batchId, by: record.owner.name});
				known.owner.dispose();
				known.owner = undefined;
			}

			if (known !== undefined) {
				known.isHandedOver = false;
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
		cacheOwner(batch.id, batchLog.owner());
		const writer = createLogWriter(batch.id, batchLog, {
			api,
			clock,
			loop,
			log,
			incarnation: `${mesh.self.name}.${mesh.self.incarnation}`,
			...(createdAt !== undefined && {createdAt}),
			onDidApply(record) {
				handleRecord(batch.id, record);
				emitter.fire();
			},
			onDidConfirm() {
				runIfOwned(entry);
			},
		});
		const entry: HeldBatch = {
			batch,
			batchLog,
			writer,
			owner: undefined,
			isHandedOver: false,
			partials: [],
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

	function startOwning(entry: HeldBatch): void {
		const now = clock.monotonic();
		entry.owner = createBatchOwner(entry.batch, {
			...dependencies,
			resumedAt,
			batchLog: entry.batchLog,
			writer: entry.writer,
			knownSince: now,
			isTakenOver: entry.batchLog.length() > 0,
			partials: chooseLongestTexts([...entry.batchLog.texts(), ...entry.partials]),
		});
		log.info('own batch', {
			batchId: entry.batch.id, items: entry.batch.items.length, listed: entry.batchLog.results().length, oldestVersion: entry.batch.oldestVersion,
		});
		entry.owner.tick(now);
	}

	function isOwnedHere(entry: HeldBatch): boolean {
		return isSameDaemon(entry.batchLog.owner(), mesh.self);
	}

	/** The only place at which a batch starts to run, whichever way this daemon learns that it owns it: also by a write of its own that it took for failed. */
	function runIfOwned(entry: HeldBatch): void {
		if (isOwnedHere(entry) && entry.owner === undefined && !entry.isHandedOver && !entry.batchLog.isEnded() && !dependencies.isLeaving()) {
			startOwning(entry);
		}
	}

	async function readStored(batchId: string): Promise<Result<StoredBatch | undefined, Failure>> {
		const found = await api.read({kind: KIND_OF_BATCHES, name: batchId});
		return found.andThen<StoredBatch | undefined, Failure>(object => {
			const stored = decodeStoredBatch(object?.spec);
			return object !== undefined && stored === undefined
				? err(createNotRun('invalid', {step: 'read batch', peer: batchId}, 'the stored batch can not be decoded'))
				: ok(stored);
		});
	}

	/** Reads a batch and its log from the store; reads only new records when the batch is already held. */
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
			return err(createNotFoundFailure(batchId));
		}

		const listed = await api.list(kindOfLog(batchId));
		if (listed.isErr()) {
			return err(listed.error);
		}

		const records = listed.value.objects.toSorted((a, b) => (a.name < b.name ? -1 : 1)).map(object => readRecord(object, log));
		const entry = held.get(batchId) ?? hold(stored.value.batch, stored.value.owner, records);
		runIfOwned(entry);
		return ok(entry);
	}

	async function findOrganisation(batchId: string): Promise<Result<string | undefined, Failure>> {
		const entry = held.get(batchId);
		if (entry !== undefined || organisationByBatch.has(batchId)) {
			return ok(entry === undefined ? organisationByBatch.get(batchId) : entry.batch.organisation);
		}

		const found = await readStored(batchId);
		return found.andThen<string | undefined, Failure>(stored => {
			if (stored === undefined) {
				return err(createNotFoundFailure(batchId));
			}

			organisationByBatch.set(batchId, stored.batch.organisation);
			return ok(stored.batch.organisation);
		});
	}

	async function findOwner(batchId: string): Promise<Result<PeerDaemon, Failure>> {
		const known = ownerByBatch.get(batchId);
		if (known !== undefined) {
			return ok(known);
		}

		const loaded = await load(batchId);
		return loaded.map(entry => entry.batchLog.owner());
	}

	/** Lists the owner of each batch that is not known to have ended. Leaves out batches whose cached owner is older than that owner's last report, which counts them. */
	function listOpenOwners(): readonly PeerDaemon[] {
		return [...ownerByBatch]
			.filter(([batchId, owner]) => held.get(batchId)?.batchLog.isEnded() !== true && !((reportedOpen.get(owner.name)?.at ?? Number.NEGATIVE_INFINITY) > (ownerCachedAt.get(batchId) ?? 0)))
			.map(([, owner]) => owner);
	}

	function cacheOwner(batchId: string, owner: PeerDaemon): void {
		ownerByBatch.set(batchId, owner);
		ownerCachedAt.set(batchId, clock.monotonic());
	}

	/** Lists the other daemons that may own open batches, by reports and by the cache. */
	function listOwners(): readonly PeerDaemon[] {
		const owners = [...listOpenOwners(), ...[...reportedOpen.values()].flatMap(({open, owner}) => (open > 0 && owner !== undefined ? [owner] : []))].filter(owner => owner.name !== mesh.self.name);
		return [...new Map(owners.map(owner => [owner.name, owner])).values()];
	}

	function scheduleRemoval(batchId: string): void {
		loop.after(dependencies.retentionMs, () => {
			void removeStored(batchId);
		});
	}

	async function removeStored(batchId: string): Promise<void> {
		const entry = held.get(batchId);
		if (entry === undefined || !isOwnedHere(entry)) {
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
		ownerByBatch.delete(batchId);
		ownerCachedAt.delete(batchId);
		organisationByBatch.delete(batchId);
	}

	return {
		get: batchId => held.get(batchId),
		all: () => [...held.values()],
		hold,
		load,
		runIfOwned,
		isOwnedHere,
		isServedHere: entry => isOwnedHere(entry) && (entry.owner !== undefined || entry.isHandedOver || entry.batchLog.isEnded()),
		cachedOwner: batchId => ownerByBatch.get(batchId),
		cacheOwner,
		recordOpenBatches(name, open) {
			const owner = [...ownerByBatch.values()].findLast(candidate => candidate.name === name);
			reportedOpen.set(name, {open, owner, at: clock.monotonic()});
		},
		cacheOrganisation(batchId, organisation) {
			organisationByBatch.set(batchId, organisation);
		},
		findOrganisation,
		findOwner,
		listOwners,
		countOpen: name => (reportedOpen.get(name)?.open ?? 0) + listOpenOwners().filter(owner => owner.name === name).length,
		scheduleRemoval,
	};
}
