/**
 * The versions of one pool's engines in a form that is cheap to follow: every change gets a revision, and a reader asks
 * only for what changed since the revision that it has. A book with another id is read whole.
 */
import type {EngineVersion} from './engine-versions.js';
import type {Target} from './target-keeper.js';

/** One engine's version of one model. */
export type BookEntry = EngineVersion & {
	readonly model: string;
	/** True when the engine has left the pool. */
	readonly removed: boolean;
};

/** What changed since a revision. */
export type BookChanges = {
	readonly book: string;
	readonly revision: number;
	readonly targets: readonly Target[];
	readonly entries: readonly BookEntry[];
};

/** A book. */
export type VersionBook = {
	readonly changesSince: (book: string, revision: number) => BookChanges;
	/** Takes over the present versions of a model; returns whether anything changed. */
	readonly replace: (target: Target, engines: readonly EngineVersion[]) => boolean;
	/** Takes over changes read from another daemon; returns the models that changed. */
	readonly apply: (changes: BookChanges) => readonly string[];
	readonly engines: (model: string) => readonly EngineVersion[];
	readonly target: (model: string) => number;
	/** Where a reader of another daemon's book stands. */
	readonly position: () => {readonly book: string; readonly revision: number};
};

type Row = BookEntry & {readonly revision: number};

function isSame(row: Row | undefined, entry: BookEntry): boolean {
	return row?.version === entry.version && row.usable === entry.usable && row.removed === entry.removed;
}

/** Creates an empty book. `id` is unique per owner and ownership. */
export function createVersionBook(id: string): VersionBook {
	const rows = new Map<string, Row>();
	const targets = new Map<string, number>();
	let source = id;
	let revision = 0;

	function put(entry: BookEntry): boolean {
		const key = `${entry.model}/${entry.serverId}`;
		if (isSame(rows.get(key), entry)) {
			return false;
		}

		revision += 1;
		rows.set(key, {...entry, revision});
		return true;
	}

	function raise(target: Target): boolean {
		const risen = target.version > (targets.get(target.model) ?? 0);
		if (risen) {
			targets.set(target.model, target.version);
		}

		return risen;
	}

	return {
		changesSince(book, since) {
			const from = book === source ? since : 0;
			return {
				book: source,
				revision,
				targets: [...targets].map(([model, version]) => ({model, version})),
				entries: [...rows.values()].filter(row => row.revision > from),
			};
		},
		replace(target, engines) {
			const present = new Set(engines.map(engine => engine.serverId));
			const gone = [...rows.values()].filter(row => row.model === target.model && !row.removed && !present.has(row.serverId));
			const changes = [
				raise(target),
				...engines.map(engine => put({...engine, model: target.model, removed: false})),
				...gone.map(row => put({...row, usable: false, removed: true})),
			];
			return changes.includes(true);
		},
		apply(changes) {
			if (changes.book !== source) {
				rows.clear();
				source = changes.book;
			}

			const risen = changes.targets.filter(target => raise(target)).map(target => target.model);
			const changed = changes.entries.filter(entry => put(entry)).map(entry => entry.model);
			revision = changes.revision;
			return [...new Set([...risen, ...changed])];
		},
		engines: model => [...rows.values()]
			.filter(row => row.model === model && !row.removed)
			.map(({serverId, version, usable}) => ({serverId, version, usable})),
		target: model => targets.get(model) ?? 0,
		position: () => ({book: source, revision}),
	};
}
