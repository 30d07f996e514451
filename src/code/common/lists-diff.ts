/** Differences between two versions of the lists, which operators review before they apply a change. */
import type {Lists} from '../../plans/common/lists.js';

/** One difference. */
export type ListChange = {
	readonly kind: 'added' | 'removed' | 'changed';
	/** The plan, or the plan and the pool of a grant, such as `grant workshops on models`. */
	readonly subject: string;
	readonly from?: unknown;
	readonly to?: unknown;
};

type Entry = {
	readonly subject: string;
	readonly value: unknown;
};

function listEntries(lists: Lists): readonly Entry[] {
	return [
		...lists.plans.map(plan => ({subject: `plan ${plan.name}`, value: plan})),
		...lists.grants.map(grant => ({subject: `grant ${grant.plan} on ${grant.pool}`, value: grant})),
	];
}

function compareEntries(from: Entry, to: Entry): readonly ListChange[] {
	return JSON.stringify(from.value) === JSON.stringify(to.value)
		? []
		: [{
			kind: 'changed', subject: to.subject, from: from.value, to: to.value,
		}];
}

/**
 * Lists the changes from `from` to `to`. Both must be outputs of the schema: entries are compared as JSON text, and the schema
 * fixes the order of keys.
 */
export function compareLists(from: Lists, to: Lists): readonly ListChange[] {
	const before = new Map(listEntries(from).map(entry => [entry.subject, entry]));
	const after = new Map(listEntries(to).map(entry => [entry.subject, entry]));
	const removed = [...before.values()].filter(entry => !after.has(entry.subject));
	return [
		...removed.map(({subject, value}): ListChange => ({kind: 'removed', subject, from: value})),
		...[...after.values()].flatMap(entry => {
			const previous = before.get(entry.subject);
			return previous === undefined ? [{kind: 'added' as const, subject: entry.subject, to: entry.value}] : compareEntries(previous, entry);
		}),
	];
}

const signByKind = {added: '+', removed: '-', changed: '~'} as const;

/** Formats a difference as one line. */
export function formatListChange(change: ListChange): string {
	const values = [change.from, change.to].filter(value => value !== undefined).map(value => JSON.stringify(value));
	return `${signByKind[change.kind]} ${change.subject}: ${values.join(' -> ')}`;
}
