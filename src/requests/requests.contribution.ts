/** Serves callers: the HTTP front, completions and calls of plain services. */
import {err} from 'neverthrow';
import {createNotRun} from '../base/common/failure.js';
import type {Context, Contribution} from '../kernel/common/contribution.js';
import {registerContribution} from '../kernel/common/registry.js';
import {admissionKey} from '../limits/common/admission.js';
import {configurationKey} from '../plans/common/configuration.js';
import {routerKey} from '../routing/common/router.js';
import {settingsKey} from '../settings/common/settings.js';
import {createAuthenticate} from './common/access.js';
import {frontKey} from './common/front.js';
import type {Claims} from './common/claims.js';
import {trustingGuard} from './common/suspect-guard.js';
import {createAttemptRunner} from './node/attempt-runner.js';
import {createClaimedRuns} from './node/claimed-runs.js';
import {createCompletionRoute} from './node/completions.js';
import {createFrontServer, type FrontServer} from './node/front-server.js';
import {createHealthRoute} from './node/health.js';
import {createServiceRoute} from './node/services.js';

const noClaims: Claims = {
	claim: async () => err(createNotRun('unavailable', {step: 'claim key', peer: 'self'}, 'claims are not available', 1000)),
	settle: () => undefined,
};

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
	front.register(createServiceRoute({...parts, claimedRuns: createClaimedRuns(noClaims, clock, loop)}));
	context.provide(frontKey, front);
	context.onDidStart(async () => {
		const port = await front.listen();
		context.log.info('listening for callers', {address: settings.daemon.address, port});
	});

	return {
		drain: front.drain,
		dispose: front.dispose,
	};
}

const contribution: Contribution = {id: 'requests', requires: ['limits', 'plans', 'routing'], start};

registerContribution(contribution);
