/** Structured logs as features see them. */

/** The fields of one log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes log lines. */
export type Log = {
	readonly debug: (message: string, fields?: LogFields) => void;
	readonly info: (message: string, fields?: LogFields) => void;
	readonly warn: (message: string, fields?: LogFields) => void;
	readonly error: (message: string, fields?: LogFields) => void;
	/** Returns a log whose lines carry the given fields as well. */
	readonly child: (fields: LogFields) => Log;
};

const ignore = () => undefined;

/** A log that drops every line, for tests and embedding. */
export const silentLog: Log = {
	debug: ignore,
	info: ignore,
	warn: ignore,
	error: ignore,
	child: () => silentLog,
};
