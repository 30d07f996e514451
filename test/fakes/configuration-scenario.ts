/** Runs fleets whose lists are changed, and asserts the guarantees for these changes. */
import * as assert from 'uvu/assert';
import {
	createConfigurationRecord, findFalseOutcomes, findLostUpdates, findReverts,
} from './configuration-record.js';
import {createDaemonFleet, type DaemonProfile} from './daemon-fleet.js';
import {listIds, availabilityZones} from './fleet-scenario.js';

/** Time within which an accepted change must be in force on every daemon. */
export const IN_FORCE_MS = 6000;

/** Changes the profile of each daemon, for example to switch a mechanism off. */
export type ProfileChange = (profile: DaemonProfile) => DaemonProfile;

/** Starts a fleet and runs it for 10 s, so that its daemons have found each other. */
export async function startScenario(seed: number, change: ProfileChange = profile => profile, daemons = 5) {
	const fleet = createDaemonFleet(seed);
	const record = createConfigurationRecord(fleet);
	const ids = listIds(daemons);
	function launch(id: string): void {
		const zone = availabilityZones[ids.indexOf(id) % availabilityZones.length]!;
		fleet.start(change({id, availabilityZone: zone}), ids);
		record.follow(fleet.get(id));
	}

	ids.forEach(id => {
		launch(id);
	});
	await fleet.time.advance(10_000);
	return {
		fleet, record, ids, launch,
	};
}

/** A running scenario. */
export type RunningScenario = Awaited<ReturnType<typeof startScenario>>;

/** Proposes a change on top of the version that a daemon currently has. */
export async function propose(started: RunningScenario, daemonId: string, tag: string): Promise<void> {
	void started.record.propose(started.fleet.get(daemonId), tag);
	await started.fleet.time.advance(100);
}

/** Asserts that no daemon reverted to an older version, no outcome was false and no update was lost. */
export function assertConsistent({record}: RunningScenario): void {
	assert.equal(findReverts(record), []);
	assert.equal(findFalseOutcomes(record), []);
	assert.equal(findLostUpdates(record), []);
}
