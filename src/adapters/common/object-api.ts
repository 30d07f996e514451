/**
 * A hosted platform's object API: objects by kind and name with conditional writes and long polls. Unlike `Store`, it also
 * contains objects that other writers own: the configuration, the entries of backend servers, and named weight versions.
 */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import {createServiceKey} from '../../kernel/common/contribution.js';

/** An object as the platform stores it. */
export type ApiObject = {
	readonly name: string;
	/** Revision of the object's last change. */
	readonly revision: number;
	readonly spec: unknown;
	readonly status: unknown;
};

/** A change of one object, as a long poll reports it. */
export type ObjectChange = {
	readonly object: ApiObject;
	readonly isDeleted: boolean;
};

/** All objects of a kind, at a revision of the store. */
export type ObjectListing = {
	readonly objects: readonly ApiObject[];
	readonly revision: number;
};

/** The changes of a kind up to a revision of the store. */
export type ObjectChanges = {
	readonly changes: readonly ObjectChange[];
	readonly revision: number;
};

/** Identifies an object. */
export type ApiObjectId = {
	readonly kind: string;
	readonly name: string;
};

/**
 * The object API.
 *
 * Failure codes: `conflict` (the condition was not met; `notRun`), `stale` (the requested history is no longer available),
 * `unavailable` with effect `notRun` or `outcomeUnknown`, `invalid` (the response could not be parsed).
 */
export abstract class ObjectApi {
	/** Reads one object; undefined when it does not exist. */
	abstract read(id: ApiObjectId): Promise<Result<ApiObject | undefined, Failure>>;

	/** Lists all objects of a kind, page by page. */
	abstract list(kind: string): Promise<Result<ObjectListing, Failure>>;

	/** Waits up to `waitMs` for changes after a revision, or until the signal aborts. */
	abstract changes(kind: string, since: number, waitMs: number, signal?: AbortSignal): Promise<Result<ObjectChanges, Failure>>;

	/** Creates an object; `conflict` when it exists. */
	abstract create(id: ApiObjectId, spec: unknown): Promise<Result<ApiObject, Failure>>;

	/** Replaces the spec if the object's revision is the expected one. */
	abstract replace(id: ApiObjectId, spec: unknown, ifRevision: number): Promise<Result<ApiObject, Failure>>;

	/** Replaces the status. */
	abstract replaceStatus(id: ApiObjectId, status: unknown): Promise<Result<ApiObject, Failure>>;

	/** Removes an object. */
	abstract remove(id: ApiObjectId): Promise<Result<void, Failure>>;
}

/** The daemon's object API. */
export const objectApiKey = createServiceKey<ObjectApi>('object-api');
