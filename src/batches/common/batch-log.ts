/**
 * The log of one batch, as read from the store. The store creates each record once, so that all daemons see the same
 * results at the same positions, whichever daemon wrote them. The next append of a daemon that has lost the batch finds an
 * existing record, which names the new owner.
 */
import type {PeerDaemon} from '../../peers/common/peer-mesh.js';
import type {
	ItemResult, LogRecord, PartialText, ResultPage, TextPart,
} from './batch.js';

/** The state that results from applying the records of a log in order. */
export type BatchLog = {
	/** Number of records, which is also the position of the next one. */
	readonly length: () => number;
	readonly apply: (record: LogRecord) => void;
	readonly results: () => readonly ItemResult[];
	readonly isListed: (itemId: string) => boolean;
	readonly isEnded: () => boolean;
	/** The owner that the newest owner record names, or the first owner. */
	readonly owner: () => PeerDaemon;
	/** Stored text of an unfinished item. */
	readonly textOf: (itemId: string) => PartialText | undefined;
	/** Stored text of all unfinished items. */
	readonly texts: () => readonly PartialText[];
	/** Results from position `after` on, as many as fit into a page. */
	readonly page: (after: number, total: number) => ResultPage;
};

/** Maximum text of one page; the platform allows a megabyte. */
const MAXIMUM_PAGE_CHARACTERS = 700_000;

/** Creates the log of a batch without records. */
export function createBatchLog(firstOwner: PeerDaemon): BatchLog {
	const results: ItemResult[] = [];
	const listed = new Set<string>();
	const texts = new Map<string, PartialText>();
	let length = 0;
	let owner = firstOwner;
	let ended = false;

	function applyResults(added: readonly ItemResult[]): void {
		// An item that two owners finished keeps its first result and position.
		added.filter(result => !listed.has(result.id)).forEach(result => {
			listed.add(result.id);
			texts.delete(result.id);
			results.push(result);
		});
	}

	function applyPart({
		itemId, after, pieces, versions, isComplete, softwareVersion,
	}: TextPart): void {
		const known = texts.get(itemId);
		if (listed.has(itemId) || (after > 0 && known?.lastEventId !== after)) {
			return;
		}

		const chunks = after === 0 ? pieces : [...known?.pieces ?? [], ...pieces];
		texts.set(itemId, {
			itemId, lastEventId: chunks.length, pieces: chunks, versions, isComplete, ...(softwareVersion !== undefined && {softwareVersion}),
		});
	}

	return {
		length: () => length,
		apply(record) {
			length += 1;
			switch (record.type) {
				case 'results': {
					applyResults(record.results);
					record.parts?.forEach(part => {
						applyPart(part);
					});
					break;
				}

				case 'owner': {
					owner = record.owner;
					break;
				}

				case 'end': {
					ended = true;
					break;
				}

				case 'unknown': {
					break;
				}
			}
		},
		results: () => results,
		isListed: itemId => listed.has(itemId),
		isEnded: () => ended,
		owner: () => owner,
		textOf: itemId => texts.get(itemId),
		texts: () => [...texts.values()],
		page(after, total) {
			const rest = results.slice(after);
			const sizes = rest.map(result => result.text.length);
			const count = sizes.findIndex((_, index) => index > 0 && sizes.slice(0, index + 1).reduce((sum, size) => sum + size, 0) > MAXIMUM_PAGE_CHARACTERS);
			const page = count === -1 ? rest : rest.slice(0, count);
			return {total, next: after + page.length, results: page};
		},
	};
}

/** Name of the record at a position; names sort in the order of positions. */
export function nameOfRecord(position: number): string {
	return String(position).padStart(6, '0');
}
