/** Writes logs through consola as JSON lines, one object per line. */
import process from 'node:process';
import {createConsola, LogLevels, type ConsolaInstance} from 'consola/core';
import type {Log, LogFields} from '../common/log.js';

/** The least severe level that is written. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'silent';

/** Destination, level and common fields of the lines. */
export type JsonLogOptions = {
	readonly level: LogLevel;
	/** Receives each line with its line break; by default, lines go to standard error. */
	readonly write?: (line: string) => void;
	/** Fields of every line. */
	readonly fields?: LogFields;
};

function writeToStandardError(line: string): void {
	process.stderr.write(line);
}

function toJsonValue(_key: string, value: unknown): unknown {
	if (value instanceof Error) {
		return value.message;
	}

	return typeof value === 'bigint' ? value.toString() : value;
}

function formatLine(date: Date, level: string, message: unknown, fields: unknown): string {
	const line = {time: date.toISOString(), level, message};
	return `${JSON.stringify(Object.assign(line, fields), toJsonValue)}\n`;
}

function createInstance(options: JsonLogOptions): ConsolaInstance {
	const write = options.write ?? writeToStandardError;
	return createConsola({
		level: LogLevels[options.level],
		// Consola must not merge repeated lines, because operators count them.
		throttle: 0,
		reporters: [{
			log(entry) {
				const {args} = entry;
				write(formatLine(entry.date, entry.type, args[0], args[1]));
			},
		}],
	});
}

function createLog(instance: ConsolaInstance, common: LogFields): Log {
	return {
		debug(message, fields) {
			instance.debug(message, {...common, ...fields});
		},
		info(message, fields) {
			instance.info(message, {...common, ...fields});
		},
		warn(message, fields) {
			instance.warn(message, {...common, ...fields});
		},
		error(message, fields) {
			instance.error(message, {...common, ...fields});
		},
		child: fields => createLog(instance, {...common, ...fields}),
	};
}

/** Creates a log that writes JSON lines. */
export function createJsonLog(options: JsonLogOptions): Log {
	return createLog(createInstance(options), options.fields ?? {});
}
