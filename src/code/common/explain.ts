/** Puts together what the logs of all daemons say of one request, item or batch, in order of time. */

/** A line of a log. */
export type ExplainedLine = {
	readonly time: string;
	readonly daemon: string;
	readonly message: string;
	readonly fields: Readonly<Record<string, unknown>>;
};

/** State changes of a daemon that bear on whatever it does meanwhile. */
const CONTEXT_MESSAGES: ReadonlySet<string> = new Set([
	'started',
	'stopping',
	'stopped',
	'configuration in force',
	'configuration can not be read',
	'own way to the store is broken',
	'own way to the store works again',
	'lost the object store',
	'regained the object store',
	'backend servers changed',
	'took the lease on orders',
	'lost the lease on orders',
	'log lines left out',
	'log lines dropped',
]);
/** State changes this long before the first decision are shown. */
const CONTEXT_BEFORE_MS = 5000;
/** Fields that every line has. */
const COMMON_FIELDS: ReadonlySet<string> = new Set(['time', 'level', 'message', 'daemon', 'incarnation', 'feature']);

function parseLine(line: string): ExplainedLine | undefined {
	// Collectors put their own words before the line.
	const start = line.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	try {
		const value: unknown = JSON.parse(line.slice(start));
		// The check leaves objects only, whose members stay unknown.
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		const fields = value as Readonly<Record<string, unknown>>;
		return typeof fields.message === 'string' && typeof fields.time === 'string'
			? {
				time: fields.time, daemon: typeof fields.daemon === 'string' ? fields.daemon : '', message: fields.message, fields: Object.fromEntries(Object.entries(fields).filter(([name]) => !COMMON_FIELDS.has(name))),
			}
			: undefined;
	} catch {
		return undefined;
	}
}

function mentions(value: unknown, id: string): boolean {
	return value === id || (Array.isArray(value) && value.some(item => mentions(item, id)));
}

/** Lines that name the id, those of its batch as a whole, and state changes of the daemons concerned around that time. */
export function explain(text: readonly string[], id: string): readonly ExplainedLine[] {
	const lines = text.flatMap(line => parseLine(line) ?? []);
	const direct = lines.filter(line => Object.values(line.fields).some(value => mentions(value, id)));
	const batchIds = new Set(direct.flatMap(line => (typeof line.fields.batchId === 'string' ? [line.fields.batchId] : [])));
	const ofBatch = lines.filter(line => typeof line.fields.batchId === 'string' && batchIds.has(line.fields.batchId) && line.fields.itemId === undefined && line.fields.requestId === undefined);
	const named = [...direct, ...ofBatch];
	const times = named.map(line => Date.parse(line.time));
	const [first, last] = [Math.min(...times) - CONTEXT_BEFORE_MS, Math.max(...times)];
	const daemons = new Set(named.map(line => line.daemon));
	const context = lines.filter(line => CONTEXT_MESSAGES.has(line.message) && daemons.has(line.daemon) && Date.parse(line.time) >= first && Date.parse(line.time) <= last);
	const shown = new Set([...named, ...context]);
	// Lines of one moment stay in the order in which they were written.
	return lines.filter(line => shown.has(line)).toSorted((a, b) => (a.time < b.time ? -1 : (a.time > b.time ? 1 : 0)));
}

/** Renders a line for a terminal. */
export function renderExplained(line: ExplainedLine): string {
	const fields = Object.entries(line.fields).map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`).join(' ');
	return `${line.time}  ${line.daemon}  ${line.message}  ${fields}`;
}
