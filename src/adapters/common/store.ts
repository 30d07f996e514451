/**
 * The platform's object API: versioned objects with conditional writes and watches. It is the only place where what
 * must be agreed or must last is kept. It counts every call, loses answers, and has outages.
 */
import type {Result} from 'neverthrow';
import type {Disposable} from '../../base/common/disposable.js';
import type {Failure} from '../../base/common/failure.js';
import {createServiceKey} from '../../kernel/common/contribution.js';

/** The system's own kinds of objects. */
export type ObjectKind = 'config' | 'lease' | 'claims' | 'grants' | 'ledger' | 'weights' | 'suspects' | 'audit' | 'status';

/** Names an object. */
export type ObjectId = {
	readonly kind: ObjectKind;
	/** Letters, digits, `.`, `_` and `-`. */
	readonly name: string;
};

/** Identifies one write, so that a writer whose answer was lost can recognise its own write when it reads back. */
export type WriteId = {
	/** Daemon id and incarnation of the writer. */
	readonly writer: string;
	/** Unique per writer. */
	readonly sequence: string;
};

/** An object as the store holds it. */
export type StoredObject = ObjectId & {
	/** Rises with every write to any object of the store, so versions of one object are strictly increasing. */
	readonly version: number;
	/** At most one megabyte of JSON text. */
	readonly value: string;
	readonly writeId: WriteId;
};

/** A conditional write. `ifVersion` 0 creates the object and conflicts when it exists. */
export type ConditionalWrite = ObjectId & {
	readonly value: string;
	readonly ifVersion: number;
	readonly writeId: WriteId;
};

/** A conditional removal. */
export type ConditionalRemoval = ObjectId & {
	readonly ifVersion: number;
};

/**
 * The object API.
 *
 * Failure codes: `conflict` (the version was another; effect `notRun`), `unavailable` with effect `notRun` (certainly not
 * applied) or `outcomeUnknown` (the answer was lost; read back before anything else), `invalid` (value too large).
 */
export abstract class Store {
	/** Reads one object; undefined when it does not exist. */
	abstract read(id: ObjectId): Promise<Result<StoredObject | undefined, Failure>>;

	/** Writes one object if its version is the expected one, and returns it as written. */
	abstract write(write: ConditionalWrite): Promise<Result<StoredObject, Failure>>;

	/** Removes one object if its version is the expected one. */
	abstract remove(removal: ConditionalRemoval): Promise<Result<void, Failure>>;

	/** Lists the objects of a kind whose names start with a prefix, in order of names. */
	abstract list(kind: ObjectKind, prefix: string): Promise<Result<readonly StoredObject[], Failure>>;

	/**
	 * Reports changes of a kind until disposed. Reports may be missed, repeated or old: compare versions, and read the
	 * objects themselves from time to time.
	 */
	abstract watch(kind: ObjectKind, listener: (object: StoredObject) => void): Disposable;
}

/** The daemon's store. */
export const storeKey = createServiceKey<Store>('store');
