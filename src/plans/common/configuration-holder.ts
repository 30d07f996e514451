/** Holds the newest configuration that this daemon has seen. Older versions are ignored, so its version only increases. */
import {createEmitter, type Event} from '../../base/common/event.js';
import {hashToHex} from '../../base/common/hash.js';
import type {Grant, Plan} from './lists.js';
import {emptyConfiguration, parseConfiguration, type StoredConfiguration} from './stored-configuration.js';

/** The result of offering a version. */
export type OfferOutcome = 'applied' | 'notNewer' | 'unreadable';

/** The newest configuration, with lookups by API key and by plan and pool. */
export type ConfigurationHolder = {
	readonly current: () => StoredConfiguration;
	/** Applies a version if it is newer than the current one. */
	readonly offer: (version: number, value: string) => OfferOutcome;
	readonly onDidChange: Event<StoredConfiguration>;
	readonly authenticate: (apiKey: string) => Plan | undefined;
	readonly grant: (plan: string, pool: string) => Grant | undefined;
};

function keyOfGrant(plan: string, pool: string): string {
	return `${plan} ${pool}`;
}

/** Creates a holder with the empty configuration. */
export function createConfigurationHolder(): ConfigurationHolder {
	const changed = createEmitter<StoredConfiguration>();
	let current = emptyConfiguration;
	let plansByKey: ReadonlyMap<string, Plan> = new Map();
	let grants: ReadonlyMap<string, Grant> = new Map();

	function apply(next: StoredConfiguration): void {
		current = next;
		plansByKey = new Map(next.lists.plans.flatMap(plan => plan.keyHashes.map(hash => [hash, plan])));
		grants = new Map(next.lists.grants.map(grant => [keyOfGrant(grant.plan, grant.pool), grant]));
		changed.fire(next);
	}

	return {
		current: () => current,
		offer(version, value) {
			if (version <= current.version) {
				return 'notNewer';
			}

			const parsed = parseConfiguration(version, value);
			if (parsed === undefined) {
				return 'unreadable';
			}

			apply(parsed);
			return 'applied';
		},
		onDidChange: changed.event,
		authenticate: apiKey => plansByKey.get(hashToHex(apiKey)),
		grant: (plan, pool) => grants.get(keyOfGrant(plan, pool)),
	};
}
