/** Differences between two states of the lists, as operators read them before they write a change. */
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

function compare(from: Entry, to: Entry): readonly ListChange[] {
	return JSON.stringify(from.value) === JSON.stringify(to.value)
		? []
		: [{
			kind: 'changed', subject: to.subject, from: from.value, to: to.value,
		}];
}

/** Lists what turns `from` into `to`. Both must have passed the schema, which fixes the order of keys. */
export function compareLists(from: Lists, to: Lists): readonly ListChange[] {
	const before = new Map(listEntries(from).map(entry => [entry.subject, entry]));
	const after = new Map(listEntries(to).map(entry => [entry.subject, entry]));
	const removed = [...before.values()].filter(entry => !after.has(entry.subject));
	return [
		...removed.map(({subject, value}): ListChange => ({kind: 'removed', subject, from: value})),
		...[...after.values()].flatMap(entry => {
			const known = before.get(entry.subject);
			return known === undefined ? [{kind: 'added' as const, subject: entry.subject, to: entry.value}] : compare(known, entry);
		}),
	];
}

const signs = {added: '+', removed: '-', changed: '~'} as const;

/** Renders a difference on one line. */
export function formatListChange(change: ListChange): string {
	const values = [change.from, change.to].filter(value => value !== undefined).map(value => JSON.stringify(value));
	return `${signs[change.kind]} ${change.subject}: ${values.join(' -> ')}`;
}
