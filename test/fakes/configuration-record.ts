/** Records what operators, callers and the store observe of the configuration, and checks these records. */
import type {Result} from 'neverthrow';
import type {Failure} from '../../src/base/common/failure.js';
import type {Lists, VersionedLists} from '../../src/plans/common/lists.js';
import type {createDaemonFleet, FleetDaemon} from './daemon-fleet.js';

/** A configuration version that callers of a daemon observed in force. */
export type VersionObservation = {
	readonly at: number;
	readonly daemonId: string;
	readonly version: number;
};

/** A proposed change and the outcome that its operator received. */
export type ProposalRecord = {
	readonly tag: string;
	readonly ifVersion: number;
	readonly endedAt: number;
	readonly outcome: Result<VersionedLists, Failure>;
};

const OBSERVATION_INTERVAL_MS = 200;

/** Creates lists that are identified by a tag, which is the name of their only plan. */
export function createTaggedLists(tag: string): Lists {
	return {
		plans: [{
			name: tag, customer: 'anadolu', weight: 1, keyHashes: [], trainers: [],
		}],
		grants: [],
	};
}

/** Records the versions in force, the store's history and the outcomes of changes. */
export function createConfigurationRecord(fleet: ReturnType<typeof createDaemonFleet>) {
	const observations: VersionObservation[] = [];
	const proposals: ProposalRecord[] = [];
	const history: Array<{readonly version: number; readonly tag: string}> = [];
	fleet.memory.open().watch('config', object => {
		history.push({version: object.version, tag: JSON.parse(object.value).lists.plans[0]?.name ?? ''});
	});
	return {
		observations,
		proposals,
		history,
		/** Records periodically which version is in force on a daemon. A test that restarts daemons passes a different label for each start. */
		follow(daemon: FleetDaemon, label = daemon.id) {
			void daemon.ready.then(() => daemon.process.loop.every({
				name: 'look',
				periodMs: OBSERVATION_INTERVAL_MS,
				run() {
					observations.push({at: fleet.time.clock.monotonic(), daemonId: label, version: daemon.configuration.current().version});
				},
			}));
		},
		async propose(daemon: FleetDaemon, tag: string): Promise<void> {
			const ifVersion = daemon.configuration.current().version;
			const outcome = await daemon.configuration.propose({operator: tag, ifVersion, lists: createTaggedLists(tag)});
			proposals.push({
				tag, ifVersion, endedAt: fleet.time.clock.monotonic(), outcome,
			});
		},
	};
}

type ConfigurationRecord = ReturnType<typeof createConfigurationRecord>;

/** Finds observed versions that are lower than an earlier one on the same daemon. */
export function findReverts({observations}: ConfigurationRecord): readonly VersionObservation[] {
	const highest = new Map<string, number>();
	return observations.filter(observation => {
		const before = highest.get(observation.daemonId) ?? 0;
		highest.set(observation.daemonId, Math.max(before, observation.version));
		return observation.version < before;
	});
}

/** Finds observations of an older version later than `withinMs` after a change was accepted. */
export function findOutdatedVersions({observations, proposals}: ConfigurationRecord, withinMs: number): readonly VersionObservation[] {
	const accepted = proposals.flatMap(({endedAt, outcome}) => (outcome.isOk() ? [{endedAt, version: outcome.value.version}] : []));
	return observations.filter(observation => accepted.some(({endedAt, version}) => observation.at > endedAt + withinMs && observation.version < version));
}

/** Finds outcomes that the store's history contradicts: accepted but absent, or `notRun` but present. */
export function findFalseOutcomes({proposals, history}: ConfigurationRecord): readonly ProposalRecord[] {
	return proposals.filter(({tag, outcome}) => {
		const written = history.find(entry => entry.tag === tag);
		return outcome.isOk()
			? written?.version !== outcome.value.version
			: outcome.error.effect === 'notRun' && written !== undefined;
	});
}

/** Finds changes that were written over a version that their operator had not read. */
export function findLostUpdates({proposals, history}: ConfigurationRecord): readonly ProposalRecord[] {
	return proposals.filter(({tag, ifVersion}) => {
		const index = history.findIndex(entry => entry.tag === tag);
		return index !== -1 && (history[index - 1]?.version ?? 0) !== ifVersion;
	});
}
