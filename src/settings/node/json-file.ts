/** Reads JSON files that operators write. */
import {readFile} from 'node:fs/promises';
import {err, ok, type Result} from 'neverthrow';
import {checkSettings} from '../common/check.js';
import type {Problem} from '../common/problem.js';
import type {Settings} from '../common/settings.js';

function describeSyntax(text: string, error: unknown): Problem {
	const message = error instanceof Error ? error.message : String(error);
	const position = Number(/at position (\d+)/.exec(message)?.[1] ?? text.length);
	const before = text.slice(0, position).split('\n');
	const location = `line ${before.length}, column ${(before.at(-1)?.length ?? 0) + 1}`;
	return {path: '$', message: `not JSON at ${location}: ${message}; allowed: one JSON document in UTF-8`};
}

/** Reads and parses a JSON file. A byte order mark at its start is ignored. */
export async function readJsonFile(file: string): Promise<Result<unknown, readonly Problem[]>> {
	try {
		const text = await readFile(file, 'utf8');
		return parseJson(text.replace(/^\uFEFF/, ''));
	} catch (error) {
		return err([{path: '$', message: `cannot be read: ${error instanceof Error ? error.message : String(error)}; allowed: a readable file`}]);
	}
}

function parseJson(text: string): Result<unknown, readonly Problem[]> {
	try {
		const document: unknown = JSON.parse(text);
		return ok(document);
	} catch (error) {
		return err([describeSyntax(text, error)]);
	}
}

/** Reads and checks a settings file. */
export async function readSettings(file: string): Promise<Result<Settings, readonly Problem[]>> {
	const document = await readJsonFile(file);
	return document.andThen(checkSettings);
}
