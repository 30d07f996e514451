/** Provides admission, which combines this daemon's shares of the grants with the fair queues of the pools. */
import {joinDisposables} from '../base/common/disposable.js';
import type {Context, Contribution} from '../kernel/common/contribution.js';
import {registerContribution} from '../kernel/common/registry.js';
import {shardsKey} from '../leases/common/shards.js';
import {membershipKey} from '../membership/common/membership.js';
import {peersKey} from '../peers/common/peers.js';
import {configurationKey} from '../plans/common/configuration.js';
import {storeKey} from '../adapters/common/store.js';
import {settingsKey} from '../settings/common/settings.js';
import {admissionKey} from './common/admission.js';
import {capacityKey, createCapacity} from './common/capacity.js';
import {limitConcurrency} from './common/concurrency.js';
import {createAdmissionController} from './common/admission-controller.js';
import {createConnectShareTransport, serveShares} from './node/connect-share-transport.js';
import {startShareCleanup} from './node/start-share-cleanup.js';
import {createShareClient, type ShareClient} from './node/share-client.js';
import {createShareOwner, type ShareOwner} from './node/share-owner.js';

const ADMIT_INTERVAL_MS = 20;
const DIVIDE_INTERVAL_MS = 200;
const RENEW_UNMET_INTERVAL_MS = 200;
/** Time limit of the release at shutdown. Shares that are not released in time stay reserved until the VM is removed. */
const RELEASE_TIMEOUT_MS = 2000;

function createOwnerAndClient(context: Context): {readonly owner: ShareOwner; readonly client: ShareClient} {
	const {clock} = context;
	const {daemon, limits} = context.use(settingsKey);
	const shards = context.use(shardsKey);
	const peers = context.use(peersKey);
	const run = Math.round(clock.wall());
	let sequence = 0;
	const owner = createShareOwner({
		shards,
		store: context.use(storeKey),
		clock,
		ttlMs: limits.shareMs,
		nextWriteId() {
			sequence += 1;
			return {writer: `${daemon.id}:${run}`, sequence: String(sequence)};
		},
	});
	serveShares(peers, owner);
	const client = createShareClient({
		daemonId: daemon.id, run, shards, transport: createConnectShareTransport(daemon.id, peers, owner), clock, ttlMs: limits.shareMs,
	});
	return {owner, client};
}

async function start(context: Context) {
	const {clock, loop} = context;
	const configuration = context.use(configurationKey);
	const membership = context.use(membershipKey);
	const shards = context.use(shardsKey);
	const capacity = createCapacity();
	const {owner, client} = createOwnerAndClient(context);
	const countDaemons = () => Math.max(1, membership.members().filter(member => member.state === 'alive').length);
	const admission = createAdmissionController({
		grantOf: configuration.grant,
		weightOf: plan => configuration.current().lists.plans.find(candidate => candidate.name === plan)?.weight ?? 1,
		fractionOf: client.fractionOf,
		concurrencyOf: (pool, running) => limitConcurrency({loads: capacity.loads(pool), running, daemons: countDaemons()}),
		random: context.random,
	});
	context.provide(capacityKey, capacity);
	context.provide(admissionKey, admission);

	const disposable = joinDisposables([
		loop.every({
			name: 'admit requests', periodMs: ADMIT_INTERVAL_MS, run: admission.tick,
		}),
		loop.every({
			name: 'divide grants', periodMs: DIVIDE_INTERVAL_MS, jitterShare: 0.1, run: owner.tick,
		}),
		loop.every({
			name: 'renew shares',
			periodMs: context.use(settingsKey).limits.renewMs,
			jitterShare: 0.1,
			run: async now => client.renew(admission.demands(now)),
		}),
		loop.every({
			name: 'renew unmet shares',
			periodMs: RENEW_UNMET_INTERVAL_MS,
			jitterShare: 0.1,
			run: async now => client.renewUnmet(admission.demands(now)),
		}),
		startShareCleanup(context, owner),
		shards.onDidLose(shard => {
			owner.invalidate(shard);
		}),
	]);
	return {
		async drain() {
			await Promise.race([client.release(), loop.sleep(RELEASE_TIMEOUT_MS)]);
		},
		dispose: disposable.dispose,
	};
}

const contribution: Contribution = {id: 'limits', requires: ['leases', 'membership', 'vm-directory', 'peers', 'plans', 'platform'], start};

registerContribution(contribution);
