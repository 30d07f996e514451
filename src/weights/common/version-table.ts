/**
 * The versions of one pool's engines, for incremental replication: every change gets a revision, and a reader requests only
 * the changes since its own revision. When the id of the table has changed, all entries are read again.
 */
import type {EngineVersion} from './engine-versions.js';
import type {Target} from './target-store.js';

/** One engine's version of one model. */
export type VersionEntry = EngineVersion & {
	readonly model: string;
	/** True when the engine has left the pool. */
	readonly removed: boolean;
};

/** The changes since a revision. `book` is the id of the table. */
export type VersionChanges = {
	readonly book: string;
	readonly revision: number;
	readonly targets: readonly Target[];
	readonly entries: readonly VersionEntry[];
};

/** A table of versions, owned by this daemon or replicated from another one. */
export type VersionTable = {
	/** Returns the changes since a revision; all entries when `book` is not the id of this table. */
	readonly changesSince: (book: string, revision: number) => VersionChanges;
	/** Replaces the versions of a model; returns whether anything changed. */
	readonly replace: (target: Target, engines: readonly EngineVersion[]) => boolean;
	/** Applies changes read from another daemon; returns the models that changed. */
	readonly apply: (changes: VersionChanges) => readonly string[];
	readonly engines: (model: string) => readonly EngineVersion[];
	readonly target: (model: string) => number;
	/** Returns the id and the revision up to which this table has been read from another daemon. */
	readonly position: () => {readonly book: string; readonly revision: number};
};

type Row = VersionEntry & {readonly revision: number};

function isSame(row: Row | undefined, entry: VersionEntry): boolean {
	return row?.version === entry.version && row.usable === entry.usable && row.removed === entry.removed;
}

/** Creates an empty table. `id` must be unique per daemon and fencing number; empty for a replica. */
export function createVersionTable(id: string): VersionTable {
	const rowByKey = new Map<string, Row>();
	const versionByModel = new Map<string, number>();
	let tableId = id;
	let revision = 0;

	function put(entry: VersionEntry): boolean {
		const key = `${entry.model}/${entry.serverId}`;
		if (isSame(rowByKey.get(key), entry)) {
			return false;
		}

		revision += 1;
		rowByKey.set(key, {...entry, revision});
		return true;
	}

	function raise(target: Target): boolean {
		const isRaised = target.version > (versionByModel.get(target.model) ?? 0);
		if (isRaised) {
			versionByModel.set(target.model, target.version);
		}

		return isRaised;
	}

	return {
		changesSince(book, since) {
			const from = book === tableId ? since : 0;
			return {
				book: tableId,
				revision,
				targets: [...versionByModel].map(([model, version]) => ({model, version})),
				entries: [...rowByKey.values()].filter(row => row.revision > from),
			};
		},
		replace(target, engines) {
			const presentServerIds = new Set(engines.map(engine => engine.serverId));
			const removedRows = [...rowByKey.values()].filter(row => row.model === target.model && !row.removed && !presentServerIds.has(row.serverId));
			const changes = [
				raise(target),
				...engines.map(engine => put({...engine, model: target.model, removed: false})),
				...removedRows.map(row => put({...row, usable: false, removed: true})),
			];
			return changes.includes(true);
		},
		apply(changes) {
			if (changes.book !== tableId) {
				rowByKey.clear();
				tableId = changes.book;
			}

			const raisedModels = changes.targets.filter(target => raise(target)).map(target => target.model);
			const changed = changes.entries.filter(entry => put(entry)).map(entry => entry.model);
			revision = changes.revision;
			return [...new Set([...raisedModels, ...changed])];
		},
		engines: model => [...rowByKey.values()]
			.filter(row => row.model === model && !row.removed)
			.map(({serverId, version, usable}) => ({serverId, version, usable})),
		target: model => versionByModel.get(model) ?? 0,
		position: () => ({book: tableId, revision}),
	};
}
