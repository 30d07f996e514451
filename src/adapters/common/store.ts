/**
 * The platform's object API: versioned objects with conditional writes and watches. Only this store holds data that
 * daemons must agree on or that must be durable. It counts every call, may lose responses, and has outages.
 */
import type {Result} from 'neverthrow';
import type {Disposable} from '../../base/common/disposable.js';
import type {Failure} from '../../base/common/failure.js';
import {createServiceKey} from '../../kernel/common/contribution.js';

/** The kinds of objects that this system stores. */
export type ObjectKind = 'config' | 'lease' | 'claims' | 'grants' | 'ledger' | 'weights' | 'suspects' | 'audit' | 'status';

/** Identifies an object. */
export type ObjectId = {
	readonly kind: ObjectKind;
	/** Letters, digits, `.`, `_` and `-`. */
	readonly name: string;
};

/** Identifies one write, so that a writer that lost the response can recognise its own write when it reads the object. */
export type WriteId = {
	/** Daemon id and incarnation of the writer. */
	readonly writer: string;
	/** Unique per writer. */
	readonly sequence: string;
};

/** An object as the store returns it. */
export type StoredObject = ObjectId & {
	/** Increases with every write to any object of the store, so the versions of one object are strictly increasing. */
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
 * Failure codes: `conflict` (the version did not match; effect `notRun`), `unavailable` with effect `notRun` (certainly not
 * applied) or `outcomeUnknown` (the response was lost; read the object before any other call), `invalid` (value too large).
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
	 * Reports changes of a kind until disposed. Reports may be missing, repeated or out of date, so compare versions and
	 * also read the objects periodically.
	 */
	abstract watch(kind: ObjectKind, listener: (object: StoredObject) => void): Disposable;
}

/** The daemon's store. */
export const storeKey = createServiceKey<Store>('store');
