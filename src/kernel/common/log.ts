/** The interface to structured logs. */

/** The fields of one log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes log lines. */
export type Log = {
	readonly debug: (message: string, fields?: LogFields) => void;
	readonly info: (message: string, fields?: LogFields) => void;
	readonly warn: (message: string, fields?: LogFields) => void;
	readonly error: (message: string, fields?: LogFields) => void;
	/** Returns a log whose lines also contain the given fields. */
	readonly child: (fields: LogFields) => Log;
};

/** Describes a thrown value for a log line, with its stack. */
export function describeError(error: unknown): string {
	return error instanceof Error ? error.stack ?? error.message : String(error);
}

const ignore = () => undefined;

/** A log that discards every line, for tests and embedding. */
export const silentLog: Log = {
	debug: ignore,
	info: ignore,
	warn: ignore,
	error: ignore,
	child: () => silentLog,
};
