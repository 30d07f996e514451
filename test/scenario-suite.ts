/** Adds scenarios as tests. */
import type {Test} from 'uvu';
import * as assert from 'uvu/assert';
import {safetyCheckers, type Checker} from './checkers/edge-checkers.js';
import type {EdgeRecord} from './edge-record.js';
import {runScenario} from './scenario-runner.js';
import {readScenario, type Scenario} from './scenario-schema.js';

/** Adds a test that runs a scenario and expects the safety checks, the given checks and `check` to hold. */
export function addScenario(test: Test, name: string, checkers: readonly Checker[], check?: (record: EdgeRecord) => void): void {
	const scenario = readScenario(name);
	test(scenario.name, async () => {
		const record = await runScenario(scenario);
		assert.equal([...safetyCheckers, ...checkers].flatMap(checker => checker(record)), [], record.logs);
		check?.(record);
	});
}

/** Adds a test that runs a scenario with a mechanism switched off, by its settings or by `change`, and expects that the checker finds a violation. */
export function addViolationScenario(test: Test, name: string, checker: Checker, change: Partial<Scenario> = {}): void {
	const scenario = {...readScenario(name), ...change};
	test(scenario.name, async () => {
		const record = await runScenario(scenario);
		assert.ok(checker(record).length > 0, `expected a violation, but the checker found none\n${record.logs}`);
	});
}
