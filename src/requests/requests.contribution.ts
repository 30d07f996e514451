/** Registers the HTTP API with the routes for health, completions and calls of plain services. */
import type {Context, Contribution} from '../kernel/common/contribution.js';
import {registerContribution} from '../kernel/common/registry.js';
import {admissionKey} from '../limits/common/admission.js';
import type {WriteId} from '../adapters/common/store.js';
import {configurationKey} from '../plans/common/configuration.js';
import {routerKey} from '../routing/common/router.js';
import {settingsKey} from '../settings/common/settings.js';
import {createAuthenticate} from './common/access.js';
import {frontKey} from './common/front.js';
import {suspectGuardKey} from './common/suspect-guard.js';
import {startClaims} from './node/start-claims.js';
import {startSuspects} from './node/start-suspects.js';
import {createAttemptRunner} from './node/attempt-runner.js';
import {createClaimedRuns} from './node/claimed-runs.js';
import {createCompletionRoute} from './node/completions.js';
import {createFrontServer, type FrontServer} from './node/front-server.js';
import {createHealthRoute} from './node/health.js';
import {createServiceRoute} from './node/services.js';

function createWriteIds(context: Context): () => WriteId {
	const writer = `${context.use(settingsKey).daemon.id}:${Math.round(context.clock.wall())}`;
	let sequence = 0;
	return () => {
		sequence += 1;
		return {writer, sequence: String(sequence)};
	};
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
	const nextWriteId = createWriteIds(context);
	const {claims, disposable: claimsDisposable} = startClaims(context, nextWriteId);
	const {guard, disposable: suspectsDisposable} = await startSuspects(context, nextWriteId);
	context.provide(suspectGuardKey, guard);
	const runner = createAttemptRunner({
		router,
		suspects: guard,
		maximumAttempts: settings.requests.maximumAttempts,
		retryShare: settings.requests.retryShare,
		clock,
		loop,
		metrics,
	});
	const dependencies = {
		pools: settings.pools, admission, router, runner, clock,
	};
	front.register(createHealthRoute(front));
	front.register(createCompletionRoute(dependencies));
	front.register(createServiceRoute({...dependencies, claimedRuns: createClaimedRuns(claims, clock, loop)}));
	context.provide(frontKey, front);
	context.onDidStart(async () => {
		const port = await front.listen();
		context.log.info('listening for callers', {address: settings.daemon.address, port});
	});

	return {
		drain: front.drain,
		dispose() {
			front.dispose();
			claimsDisposable.dispose();
			suspectsDisposable.dispose();
		},
	};
}

const contribution: Contribution = {id: 'requests', requires: ['leases', 'limits', 'membership', 'peers', 'platform', 'plans', 'routing'], start};

registerContribution(contribution);
