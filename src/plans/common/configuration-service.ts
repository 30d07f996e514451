/**
 * Keeps the configuration of one daemon at the newest version. Version numbers spread as rumors, values are fetched from
 * peers, and only `WATCHERS_PER_ZONE` daemons of each availability zone read the store regularly.
 */
import {ok, type Result} from 'neverthrow';
import type {Audit} from '../../audit/common/audit.js';
import type {Clock} from '../../base/common/clock.js';
import {createDisposableStore, type Disposable} from '../../base/common/disposable.js';
import {createEmitter} from '../../base/common/event.js';
import {formatFailure, type Failure} from '../../base/common/failure.js';
import {rankByRendezvous} from '../../base/common/hash.js';
import type {Random} from '../../base/common/random.js';
import type {Log} from '../../kernel/common/log.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {Member, Membership} from '../../membership/common/membership.js';
import type {Snapshots} from '../../persistence/common/snapshots.js';
import type {Store} from '../../adapters/common/store.js';
import type {Configuration} from './configuration.js';
import type {ConfigurationBody, ConfigurationTransport} from './configuration-transport.js';
import {createConfigurationHolder, type ConfigurationHolder} from './configuration-holder.js';
import type {VersionedLists} from './lists.js';
import {createPropose} from './proposals.js';
import {configurationId} from './stored-configuration.js';

/** Dependencies of the configuration service. */
export type ConfigurationOptions = {
	readonly membership: Membership;
	readonly store: Store;
	readonly transport: ConfigurationTransport;
	readonly audit: Audit;
	readonly snapshots: Snapshots;
	readonly loop: Loop;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly createHolder?: () => ConfigurationHolder;
};

/** The configuration with the operations for its daemon and its peers. */
export type ConfigurationService = Configuration & Disposable & {
	/** Applies the newest version found in the local snapshot, the store and the peers. */
	readonly recover: () => Promise<void>;
	/** Handles a peer's fetch; waits up to `SERVE_WAIT_MS` for a wanted version that has not arrived yet. */
	readonly serve: (wantedVersion: number, ownVersion: number) => Promise<ConfigurationBody>;
};

/** Topic of rumors about versions. */
export const CONFIGURATION_TOPIC = 'configuration';

/** Number of daemons of each availability zone that read the store regularly. */
const WATCHERS_PER_ZONE = 2;

/** Interval at which a watcher reads the store, and every other daemon checks whether it is behind. */
const WATCH_INTERVAL_MS = 2000;

/** Time for which a peer waits for a wanted version before it responds without it. */
const SERVE_WAIT_MS = 800;

/** Maximum number of catch-up rounds started by one rumor or check, and the mean wait between them. */
const CATCH_UP_ROUNDS = 20;
const CATCH_UP_WAIT_MS = 500;

/** Number of random peers that are asked in one round, after the peer that sent the rumor. */
const OTHER_PEERS_PER_ROUND = 2;

/** Maximum number of catch-up rounds for which a starting daemon waits. */
const RECOVERY_ROUNDS = 4;

const SNAPSHOT_NAME = 'configuration';

type Snapshot = {
	readonly version: number;
	readonly value: string;
};

function parseSnapshot(text: string): Snapshot | undefined {
	const separator = text.indexOf('\n');
	const version = Number(text.slice(0, separator));
	return separator > 0 && Number.isSafeInteger(version) ? {version, value: text.slice(separator + 1)} : undefined;
}

/** Creates the configuration of one daemon, and starts to follow rumors, peers and the store. */
export function createConfigurationService(options: ConfigurationOptions): ConfigurationService {
	const {membership, store, transport, audit, snapshots, loop, random, log} = options;
	const holder = (options.createHolder ?? createConfigurationHolder)();
	const changed = createEmitter<VersionedLists>();
	const disposables = createDisposableStore();
	const {id, incarnation} = membership.self();
	let wantedVersion = 0;
	let isCatchingUp = false;
	let storeWatch: Disposable | undefined;

	function applyVersion(version: number, value: string): void {
		const outcome = holder.offer(version, value);
		if (outcome === 'unreadable') {
			log.error('configuration not readable', {step: 'read configuration', peer: 'store', version});
			return;
		}

		if (outcome === 'applied') {
			snapshots.write(SNAPSHOT_NAME, `${version}\n${value}`);
			membership.spread({
				topic: CONFIGURATION_TOPIC, origin: '', version, value: '',
			});
			changed.fire({version, lists: holder.current().lists});
		}
	}

	async function refresh(): Promise<Result<void, Failure>> {
		const found = await store.read(configurationId);
		return found.andThen((object): Result<void, Failure> => {
			if (object) {
				applyVersion(object.version, object.value);
			}

			return ok();
		});
	}

	function isBehind(): boolean {
		return wantedVersion > holder.current().version;
	}

	async function fetchFrom(peer: Member): Promise<void> {
		const fetched = await transport.fetch(peer, wantedVersion, holder.current().version);
		fetched.match(body => {
			if (body.value !== '') {
				applyVersion(body.version, body.value);
			}
		}, failure => {
			log.debug('configuration not fetched', {failure: formatFailure(failure)});
		});
	}

	function choosePeers(via: string | undefined): readonly Member[] {
		const others = membership.members().filter(member => member.id !== id && member.id !== via);
		const sameZone = others.filter(member => member.availabilityZone === membership.self().availabilityZone);
		const candidates = sameZone.length > 0 ? sameZone : others;
		const announcer = via === undefined ? undefined : membership.find(via);
		const picked = Array.from({length: OTHER_PEERS_PER_ROUND}).flatMap(() => candidates[Math.floor(random() * candidates.length)] ?? []);
		return announcer ? [announcer, ...picked] : picked;
	}

	/** Asks the peers one after the other, then the store, until the wanted version has been applied. */
	async function runCatchUpRound(via: string | undefined): Promise<void> {
		await choosePeers(via).reduce<Promise<void>>(async (previous, peer) => {
			await previous;
			if (isBehind()) {
				await fetchFrom(peer);
			}
		}, Promise.resolve());
		if (isBehind()) {
			await refresh();
		}
	}

	async function runCatchUpRounds(via: string | undefined, roundsLeft: number): Promise<void> {
		if (roundsLeft === 0 || !isBehind()) {
			return;
		}

		await runCatchUpRound(via);
		if (isBehind()) {
			await loop.sleep(CATCH_UP_WAIT_MS * (0.5 + random()));
		}

		await runCatchUpRounds(undefined, roundsLeft - 1);
	}

	async function catchUp(via: string | undefined, rounds: number): Promise<void> {
		if (isCatchingUp) {
			return;
		}

		isCatchingUp = true;
		await runCatchUpRounds(via, rounds);
		isCatchingUp = false;
	}

	function requireVersion(version: number, via: string | undefined): void {
		wantedVersion = Math.max(wantedVersion, version);
		if (isBehind()) {
			void catchUp(via, CATCH_UP_ROUNDS);
		}
	}

	function isWatcher(): boolean {
		const self = membership.self();
		const zone = membership.members().filter(member => member.availabilityZone === self.availabilityZone && member.state === 'alive');
		return rankByRendezvous(`configuration/${self.availabilityZone}`, zone, member => member.id)
			.slice(0, WATCHERS_PER_ZONE)
			.some(member => member.id === id);
	}

	async function runWatcher(): Promise<void> {
		const watches = isWatcher();
		if (!watches) {
			storeWatch?.dispose();
			storeWatch = undefined;
			requireVersion(wantedVersion, undefined);
			return;
		}

		storeWatch ??= store.watch('config', object => {
			if (object.name === configurationId.name) {
				applyVersion(object.version, object.value);
			}
		});
		await refresh();
	}

	disposables.add(membership.onDidReceiveRumor(rumor => {
		if (rumor.topic === CONFIGURATION_TOPIC) {
			requireVersion(rumor.version, rumor.via);
		}
	}));
	disposables.add(loop.every({
		name: 'watch configuration', periodMs: WATCH_INTERVAL_MS, jitterShare: 0.2, run: runWatcher,
	}));
	audit.addSource(() => holder.current().changes);

	const propose = createPropose({
		writer: `${id}@${incarnation}`, holder, store, audit, clock: options.clock, refresh, apply: applyVersion,
	});

	return {
		current: () => ({version: holder.current().version, lists: holder.current().lists}),
		onDidChange: changed.event,
		authenticate: holder.authenticate,
		grant: holder.grant,
		propose,
		async recover() {
			const snapshot = parseSnapshot(snapshots.read(SNAPSHOT_NAME) ?? '');
			if (snapshot) {
				applyVersion(snapshot.version, snapshot.value);
			}

			await refresh();
			membership.rumors(CONFIGURATION_TOPIC).forEach(rumor => {
				wantedVersion = Math.max(wantedVersion, rumor.version);
			});
			await catchUp(undefined, RECOVERY_ROUNDS);
		},
		async serve(wanted, own) {
			if (holder.current().version < wanted) {
				await Promise.race([
					loop.sleep(SERVE_WAIT_MS),
					new Promise<void>(resolve => {
						const waiting = holder.onDidChange(configuration => {
							if (configuration.version >= wanted) {
								waiting.dispose();
								resolve();
							}
						});
					}),
				]);
			}

			const {version, value} = holder.current();
			return {version, value: version > own ? value : ''};
		},
		dispose() {
			storeWatch?.dispose();
			disposables.dispose();
		},
	};
}
