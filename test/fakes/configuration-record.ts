/** What operators, callers and the store saw of the configuration, and checkers over it. */
import type {Result} from 'neverthrow';
import type {Failure} from '../../src/base/common/failure.js';
import type {Lists, VersionedLists} from '../../src/plans/common/lists.js';
import type {createDaemonFleet, FleetDaemon} from './daemon-fleet.js';

/** A version seen in force on a daemon by its callers. */
export type Sight = {
	readonly at: number;
	readonly daemonId: string;
	readonly version: number;
};

/** A change as its operator saw it end. */
export type ProposalRecord = {
	readonly tag: string;
	readonly ifVersion: number;
	readonly endedAt: number;
	readonly outcome: Result<VersionedLists, Failure>;
};

const LOOK_MS = 200;

/** Lists that can be told apart by a tag, the name of their only plan. */
export function createTaggedLists(tag: string): Lists {
	return {
		plans: [{
			name: tag, customer: 'anadolu', weight: 1, keyHashes: [], trainers: [],
		}],
		grants: [],
	};
}

/** Records versions in force, the store's history and the outcomes of changes. */
export function createConfigurationRecord(fleet: ReturnType<typeof createDaemonFleet>) {
	const sights: Sight[] = [];
	const proposals: ProposalRecord[] = [];
	const history: Array<{readonly version: number; readonly tag: string}> = [];
	fleet.memory.open().watch('config', object => {
		history.push({version: object.version, tag: JSON.parse(object.value).lists.plans[0]?.name ?? ''});
	});
	return {
		sights,
		proposals,
		history,
		/** Looks at what is in force on a daemon; the label tells its starts apart where that matters. */
		follow(daemon: FleetDaemon, label = daemon.id) {
			void daemon.ready.then(() => daemon.process.loop.every({
				name: 'look',
				periodMs: LOOK_MS,
				run() {
					sights.push({at: fleet.time.clock.monotonic(), daemonId: label, version: daemon.configuration.current().version});
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

/** Finds versions in force that are lower than an earlier one on the same daemon. */
export function findReverts({sights}: ConfigurationRecord): readonly Sight[] {
	const highest = new Map<string, number>();
	return sights.filter(sight => {
		const before = highest.get(sight.daemonId) ?? 0;
		highest.set(sight.daemonId, Math.max(before, sight.version));
		return sight.version < before;
	});
}

/** Finds daemons on which an older version was in force later than `withinMs` after a change was accepted. */
export function findLate({sights, proposals}: ConfigurationRecord, withinMs: number): readonly Sight[] {
	const accepted = proposals.flatMap(({endedAt, outcome}) => (outcome.isOk() ? [{endedAt, version: outcome.value.version}] : []));
	return sights.filter(sight => accepted.some(({endedAt, version}) => sight.at > endedAt + withinMs && sight.version < version));
}

/** Finds outcomes that the store's history contradicts: accepted but absent, or "not run" but present. */
export function findFalseOutcomes({proposals, history}: ConfigurationRecord): readonly ProposalRecord[] {
	return proposals.filter(({tag, outcome}) => {
		const written = history.find(entry => entry.tag === tag);
		return outcome.isOk()
			? written?.version !== outcome.value.version
			: outcome.error.effect === 'notRun' && written !== undefined;
	});
}

/** Finds accepted changes that were written over a version their operator had not read. */
export function findLostUpdates({proposals, history}: ConfigurationRecord): readonly ProposalRecord[] {
	return proposals.filter(({tag, ifVersion}) => {
		const index = history.findIndex(entry => entry.tag === tag);
		return index !== -1 && (history[index - 1]?.version ?? 0) !== ifVersion;
	});
}
