/** Checks a complete settings document: first each value by itself, then the values in relation to each other. */
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {checkAcross} from './cross-checks.js';
import {describeIssues, type Problem} from './problem.js';
import {settingsSchema, type Settings} from './settings.js';

/** Returns the JSON Schema of the settings file, for use in editors. */
export function createSettingsJsonSchema(): Readonly<Record<string, unknown>> {
	return z.toJSONSchema(settingsSchema, {io: 'input'});
}

/** Checks a parsed settings document and fills in defaults. Returns no settings if there is any problem. */
export function checkSettings(document: unknown): Result<Settings, readonly Problem[]> {
	const parsed = settingsSchema.safeParse(document);
	if (!parsed.success) {
		return err(describeIssues(parsed.error.issues, document, createSettingsJsonSchema()));
	}

	const problems = checkAcross(parsed.data);
	return problems.length > 0 ? err(problems) : ok(parsed.data);
}
