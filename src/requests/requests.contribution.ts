/** Serves callers: the HTTP front, completions and calls of plain services. */
import {joinDisposables, type Disposable} from '../base/common/disposable.js';
import type {Context, Contribution} from '../kernel/common/contribution.js';
import {registerContribution} from '../kernel/common/registry.js';
import {admissionKey} from '../limits/common/admission.js';
import {shardsKey} from '../leases/common/shards.js';
import {peersKey} from '../peers/common/peers.js';
import {storeKey} from '../platform/common/store.js';
import {configurationKey} from '../plans/common/configuration.js';
import {routerKey} from '../routing/common/router.js';
import {settingsKey} from '../settings/common/settings.js';
import {createAuthenticate} from './common/access.js';
import {frontKey} from './common/front.js';
import {claimsKey, type Claims} from './common/claims.js';
import {createClaimOwner} from './node/claim-owner.js';
import {createClaimsClient} from './node/claims-client.js';
import {createConnectClaimLink, serveClaims} from './node/connect-claim-link.js';
import {trustingGuard} from './common/suspect-guard.js';
import {createAttemptRunner} from './node/attempt-runner.js';
import {createClaimedRuns} from './node/claimed-runs.js';
import {createCompletionRoute} from './node/completions.js';
import {createFrontServer, type FrontServer} from './node/front-server.js';
import {createHealthRoute} from './node/health.js';
import {createServiceRoute} from './node/services.js';

const EXPIRY_POLL_MS = 60_000;

function startClaims(context: Context): {readonly claims: Claims; readonly disposable: Disposable} {
	const {clock, loop} = context;
	const {daemon, requests} = context.use(settingsKey);
	const shards = context.use(shardsKey);
	const peers = context.use(peersKey);
	const writer = `${daemon.id}:${Math.round(clock.wall())}`;
	let sequence = 0;
	const owner = createClaimOwner({
		shards,
		store: context.use(storeKey),
		clock,
		bounds: {retentionMs: requests.claimRetentionMs, generationBytes: requests.claimGenerationBytes, windowMs: requests.claimWindowMs},
		nextWriteId() {
			sequence += 1;
			return {writer, sequence: String(sequence)};
		},
	});
	serveClaims(peers, owner);
	const claims = createClaimsClient({
		shards, link: createConnectClaimLink(daemon.id, peers, owner), clock, loop,
	});
	context.provide(claimsKey, claims);
	const disposable = joinDisposables([
		shards.onDidAcquire(holding => {
			owner.acquired(holding.shard);
		}),
		loop.every({
			name: 'remove expired claims', periodMs: EXPIRY_POLL_MS, jitterShare: 0.5, run: owner.removeExpired,
		}),
	]);
	return {claims, disposable};
}

function createFront(context: Context): FrontServer {
	const settings = context.use(settingsKey);
	const {requests, daemon} = settings;
	return createFrontServer({
		address: daemon.address,
		port: daemon.callerPort,
		maximumBodyBytes: requests.maximumBodyBytes,
		headerTimeoutMs: requests.headerTimeoutMs,
		deadlineMs: requests.deadlineMs,
		drainMs: requests.drainMs,
		authenticate: createAuthenticate(context.use(configurationKey), settings.operatorKeys),
		clock: context.clock,
		loop: context.loop,
		log: context.log,
		metrics: context.metrics,
	});
}

async function start(context: Context) {
	const settings = context.use(settingsKey);
	const {clock, loop, metrics} = context;
	const router = context.use(routerKey);
	const admission = context.use(admissionKey);
	const front = createFront(context);
	const {claims, disposable} = startClaims(context);
	const runner = createAttemptRunner({
		router,
		suspects: trustingGuard,
		maximumAttempts: settings.requests.maximumAttempts,
		retryShare: settings.requests.retryShare,
		clock,
		loop,
		metrics,
	});
	const parts = {
		pools: settings.pools, admission, router, runner, clock,
	};
	front.register(createHealthRoute(front));
	front.register(createCompletionRoute(parts));
	front.register(createServiceRoute({...parts, claimedRuns: createClaimedRuns(claims, clock, loop)}));
	context.provide(frontKey, front);
	context.onDidStart(async () => {
		const port = await front.listen();
		context.log.info('listening for callers', {address: settings.daemon.address, port});
	});

	return {
		drain: front.drain,
		dispose() {
			front.dispose();
			disposable.dispose();
		},
	};
}

const contribution: Contribution = {id: 'requests', requires: ['leases', 'limits', 'platform', 'plans', 'routing'], start};

registerContribution(contribution);
