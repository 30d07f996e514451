/** Collects the log lines of all daemons about one request, item or batch, sorted by time. */

/** A parsed log line. */
export type LogLine = {
	readonly time: string;
	readonly daemon: string;
	readonly message: string;
	readonly fields: Readonly<Record<string, unknown>>;
};

/** Log messages about state changes of a daemon that affect all its work at that time. */
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
/** State changes are included from this long before the first line about the id. */
const CONTEXT_LOOKBACK_MS = 5000;
/** Fields that every line has; left out of `LogLine.fields`. */
const COMMON_FIELDS: ReadonlySet<string> = new Set(['time', 'level', 'message', 'daemon', 'incarnation', 'feature']);

function parseLine(line: string): LogLine | undefined {
	// Log collectors add a prefix of their own before the JSON.
	const start = line.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	try {
		const value: unknown = JSON.parse(line.slice(start));
		// The text starts with "{", so the value is an object; its members are checked below.
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

/**
 * Returns the lines that contain the id, the lines about its batch that concern no single item or request, and state changes
 * of the daemons involved around that time. `rawLines` are log lines in any order.
 */
export function explain(rawLines: readonly string[], id: string): readonly LogLine[] {
	const lines = rawLines.flatMap(line => parseLine(line) ?? []);
	const linesWithId = lines.filter(line => Object.values(line.fields).some(value => mentions(value, id)));
	const batchIds = new Set(linesWithId.flatMap(line => (typeof line.fields.batchId === 'string' ? [line.fields.batchId] : [])));
	const batchLines = lines.filter(line => typeof line.fields.batchId === 'string' && batchIds.has(line.fields.batchId) && line.fields.itemId === undefined && line.fields.requestId === undefined);
	const relatedLines = [...linesWithId, ...batchLines];
	const times = relatedLines.map(line => Date.parse(line.time));
	const [windowStart, windowEnd] = [Math.min(...times) - CONTEXT_LOOKBACK_MS, Math.max(...times)];
	const daemons = new Set(relatedLines.map(line => line.daemon));
	const contextLines = lines.filter(line => CONTEXT_MESSAGES.has(line.message) && daemons.has(line.daemon) && Date.parse(line.time) >= windowStart && Date.parse(line.time) <= windowEnd);
	const selectedLines = new Set([...relatedLines, ...contextLines]);
	// The sort is stable: lines with equal times stay in the order of the input.
	return lines.filter(line => selectedLines.has(line)).toSorted((a, b) => (a.time < b.time ? -1 : (a.time > b.time ? 1 : 0)));
}

/** Formats a line for a terminal. */
export function formatLogLine(line: LogLine): string {
	const fields = Object.entries(line.fields).map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`).join(' ');
	return `${line.time}  ${line.daemon}  ${line.message}  ${fields}`;
}
