/**
 * In-memory table of the claims of one shard at its owner; it also prepares the next object to write. It does no I/O: the
 * caller writes the object and reports back which write took effect.
 */
import type {StoredObject} from '../../adapters/common/store.js';
import {
	generationIndex, generationName, parseGeneration, type ClaimGeneration, type ClaimRecord,
} from './claim-record.js';
import type {ClaimRequest, Outcome} from './claims.js';

/** Limits of the stored claims. */
export type ClaimBounds = {
	/** Time for which a claim is kept. */
	readonly retentionMs: number;
	/** Size of an object, in bytes, above which its generation is sealed. */
	readonly generationBytes: number;
	/** Time within which a granted run must start. */
	readonly windowMs: number;
};

/** The state of a key. */
export type KeyState
	/** Never claimed, or freed. */
	= | {readonly kind: 'free'}
	/** Already claimed by this request, that is with the same claim id. */
		| {readonly kind: 'own'}
		| {readonly kind: 'settled'; readonly outcome: Outcome}
		| {readonly kind: 'running'}
		| {readonly kind: 'mismatch'};

/** The next object to write. */
export type ClaimWrite = {
	readonly name: string;
	readonly ifVersion: number;
	readonly value: ClaimGeneration;
	/** The records that the write adds. */
	readonly added: readonly ClaimRecord[];
};

/** Table of the claims of one shard. */
export type ClaimTable = {
	/** Replaces the contents of the table by the given objects of the store. */
	readonly load: (objects: readonly StoredObject[]) => void;
	readonly state: (request: ClaimRequest, wallNow: number) => KeyState;
	readonly find: (key: string) => ClaimRecord | undefined;
	/**
	 * Prepares a write of the records. When the open generation is full, the write only seals it and adds no records: after
	 * that write, prepare again.
	 */
	readonly prepare: (records: readonly ClaimRecord[]) => ClaimWrite;
	/** Applies a write that took effect in the store. */
	readonly written: (write: ClaimWrite, version: number) => void;
	/** Lists the sealed generations whose claims are all older than the retention time. */
	readonly expired: (wallNow: number) => ReadonlyArray<{readonly name: string; readonly version: number}>;
	readonly removed: (name: string) => void;
	readonly size: () => number;
};

type Generation = ClaimGeneration & {
	readonly index: number;
	readonly name: string;
	readonly version: number;
	readonly bytes: number;
};

const GENERATION_OVERHEAD_BYTES = 32;

function measureBytes(records: readonly ClaimRecord[]): number {
	return records.reduce((sum, record) => sum + JSON.stringify(record).length + 1, 0);
}

/** Creates an empty table. */
export function createClaimTable(shard: number, bounds: ClaimBounds): ClaimTable {
	let generations: readonly Generation[] = [];
	const latestByKey = new Map<string, ClaimRecord>();

	/** Indexes records by key; a later record of a key replaces an earlier one. */
	function index(records: readonly ClaimRecord[]): void {
		records.forEach(record => {
			latestByKey.set(record.key, record);
		});
	}

	function openGeneration(): Generation {
		const last = generations.at(-1);
		if (last && !last.sealed) {
			return last;
		}

		const next = (last?.index ?? -1) + 1;
		return {
			index: next, name: generationName(shard, next), version: 0, sealed: false, records: [], bytes: GENERATION_OVERHEAD_BYTES,
		};
	}

	function isPastRetention(record: ClaimRecord, wallNow: number): boolean {
		return record.claimedAt + bounds.retentionMs < wallNow;
	}

	function forgetRecords(records: readonly ClaimRecord[]): void {
		records.filter(record => latestByKey.get(record.key) === record).forEach(record => {
			latestByKey.delete(record.key);
		});
	}

	return {
		load(objects) {
			latestByKey.clear();
			generations = objects
				.toSorted((a, b) => generationIndex(a.name) - generationIndex(b.name))
				.map(object => ({
					...parseGeneration(object.value), index: generationIndex(object.name), name: object.name, version: object.version, bytes: object.value.length,
				}));
			generations.forEach(generation => {
				index(generation.records);
			});
		},
		state(request, wallNow) {
			const record = latestByKey.get(request.key);
			if (record === undefined || record.freed) {
				return {kind: 'free'};
			}

			if (record.claimId === request.claimId && record.outcome === undefined) {
				return {kind: 'own'};
			}

			if (record.bodyDigest !== request.bodyDigest) {
				return {kind: 'mismatch'};
			}

			if (record.outcome) {
				return {kind: 'settled', outcome: record.outcome};
			}

			const mayRunUntil = record.claimedAt + bounds.windowMs + record.runForMs;
			return wallNow < mayRunUntil ? {kind: 'running'} : {kind: 'settled', outcome: {kind: 'unknown'}};
		},
		find: key => latestByKey.get(key),
		prepare(records) {
			const open = openGeneration();
			const bytes = open.bytes + measureBytes(records);
			if (open.records.length > 0 && bytes > bounds.generationBytes) {
				return {
					name: open.name, ifVersion: open.version, value: {sealed: true, records: open.records}, added: [],
				};
			}

			return {
				name: open.name, ifVersion: open.version, value: {sealed: false, records: [...open.records, ...records]}, added: records,
			};
		},
		written(write, version) {
			const {sealed, records} = write.value;
			const generation = {
				index: generationIndex(write.name), name: write.name, version, sealed, records, bytes: GENERATION_OVERHEAD_BYTES + measureBytes(records),
			};
			generations = [...generations.filter(other => other.name !== write.name), generation];
			index(write.added);
		},
		expired: wallNow => generations
			.filter(generation => generation.sealed && generation.records.every(record => isPastRetention(record, wallNow)))
			.map(({name, version}) => ({name, version})),
		removed(name) {
			generations.filter(generation => generation.name === name).forEach(generation => {
				forgetRecords(generation.records);
			});
			generations = generations.filter(generation => generation.name !== name);
		},
		size: () => latestByKey.size,
	};
}
