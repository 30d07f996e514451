/** Fleets whose lists are changed, and what must hold of them. */
import * as assert from 'uvu/assert';
import {
	createConfigurationRecord, findFalseOutcomes, findLostUpdates, findReverts,
} from './configuration-record.js';
import {createDaemonFleet, type DaemonProfile} from './daemon-fleet.js';
import {listIds, zones} from './fleet-scenario.js';

/** Time within which a change is in force on every daemon. */
export const IN_FORCE_MS = 6000;

/** Changes the profile of each daemon, to switch a mechanism off. */
export type Change = (profile: DaemonProfile) => DaemonProfile;

/** Starts a fleet and lets it settle. */
export async function start(seed: number, change: Change = profile => profile, daemons = 5) {
	const fleet = createDaemonFleet(seed);
	const record = createConfigurationRecord(fleet);
	const ids = listIds(daemons);
	function launch(id: string): void {
		const zone = zones[ids.indexOf(id) % zones.length]!;
		fleet.start(change({id, zone}), ids);
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
export type Started = Awaited<ReturnType<typeof start>>;

/** Proposes a change over the version that a daemon has. */
export async function propose(started: Started, daemonId: string, tag: string): Promise<void> {
	void started.record.propose(started.fleet.get(daemonId), tag);
	await started.fleet.time.advance(100);
}

/** Asserts that no version went back, no outcome was false and no change was lost. */
export function assertRight({record}: Started): void {
	assert.equal(findReverts(record), []);
	assert.equal(findFalseOutcomes(record), []);
	assert.equal(findLostUpdates(record), []);
}
