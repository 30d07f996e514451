import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {ok} from 'neverthrow';
import {createSeededRandom, createVirtualTime} from '../../../test/fakes/virtual-loop.js';
import {silentLog} from '../../kernel/common/log.js';
import {silentMetrics} from '../../kernel/common/metrics.js';
import {unlimitedPermits} from '../../limits/common/server-permits.js';
import {createDispatcher} from '../../routing/common/dispatcher.js';
import {createLoadEstimate} from '../../routing/common/load-estimate.js';
import {createPrefixIndex} from '../../routing/common/prefix-index.js';
import {createFailureRates} from '../common/failure-rates.js';
import {createHedgePolicy, unmeasuredHedging} from '../common/hedge-policy.js';
import {createPoolServers} from '../common/pool-servers.js';
import type {Repeatability} from '../common/deployment.js';
import {permissiveRequestGuard} from '../common/request-guard.js';
import {createServerView} from '../common/server-view.js';
import type {WorkStatus} from '../common/work-status.js';
import {createForwarder} from '../node/forwarder.js';
import {createServerAcquisition} from '../node/server-acquisition.js';
import type {ServerCaller, ServerRequest} from '../node/server-caller.js';

const work: WorkStatus = {read: () => ({kind: 'confirmed', beginWithinMs: 1000}), refresh: async () => undefined};
const test = suite('forwarder');
const POOL = 'p';

/** Forwards one request to servers that all refuse it; returns the server of each attempt, and whether it used a connection of its own. */
async function listRefusedAttempts(repeatability: Repeatability, signal = new AbortController().signal): Promise<ReadonlyArray<{readonly serverId: string; readonly isNew: boolean; readonly headers: ServerRequest['headers']; readonly work: WorkStatus | undefined}>> {
	const random = createSeededRandom(1);
	const time = createVirtualTime(random);
	const {clock, loop} = time;
	const view = createServerView(() => 'r');
	view.update(['s1', 's2'].map(id => ({
		id, pool: POOL, address: id, port: 1, availabilityZone: 'z', slots: 8, isLeaving: false, versions: new Map(), sequence: 1, startedAt: 1, softwareVersion: 'v1',
	})), 0);
	const attempts: Array<{readonly serverId: string; readonly isNew: boolean; readonly headers: ServerRequest['headers']; readonly work: WorkStatus | undefined}> = [];
	const caller: ServerCaller = {
		async attempt(server, {headers}, {requestId}, options) {
			attempts.push({
				serverId: server.id, isNew: options.usesNewConnection === true, headers, work: options.work,
			});
			await loop.sleep(1);
			return ok({
				status: 503, headers: {}, body: new Uint8Array(), head: {
					status: 503, requestId, isNotRun: true, isOtherServer: false, isLeaving: false, limitPerSecond: undefined, load: undefined, signature: undefined, version: undefined,
				},
			});
		},
		close: () => undefined,
	};
	const loads = createLoadEstimate(() => 8);
	const failureRates = createFailureRates();
	const runs: boolean[] = [];
	const forwarder = createForwarder({
		clock,
		loop,
		random,
		caller,
		loads,
		log: silentLog,
		metrics: silentMetrics,
		guard: permissiveRequestGuard,
		failureRates,
		hedgePolicy: createHedgePolicy(unmeasuredHedging),
		listPoolServers: createPoolServers({
			view, loads, permits: unlimitedPermits, failureRates,
		}),
		runs: {
			track: () => ({
				begin: () => undefined,
				end(mayHaveRun) {
					runs.push(mayHaveRun);
				},
			}),
		},
		configurationVersion: () => 1,
		serverIdsOf: pool => view.list(pool).map(entry => entry.id),
		acquisition: createServerAcquisition({
			permits: unlimitedPermits, isUsable: view.table.isUsable, clock, random,
		}),
		dispatcher: createDispatcher({
			table: view.table, loads, prefixes: createPrefixIndex(100), weights: {prefillMsPerToken: 0, crossRegionMs: 0, crossRegionMsPerKilobyte: 0}, ownRegion: 'r', random, isReservedElsewhere: () => false,
		}),
	});
	const forwarded = forwarder.forward({
		requestId: 'q',
		route: {
			name: 'r', host: 'h', pathPrefix: '/', repeatability, timeoutMs: 2000, goalMs: 1000, priority: 1, attempts: 4, pools: [{pool: POOL, weight: 1}], canResume: false, dueMs: 0, giveUpAfterMs: 0, needsSingleVersion: false,
		},
		method: 'POST',
		path: '/',
		headers: {'X-Customer': 'a'},
		body: undefined,
		deadlineAt: 2000,
		signal,
		urgency: undefined,
		permitUrgency: 'caller',
		fingerprint: undefined,
		organisation: undefined,
		work,
	});
	await time.advance(2000);
	await forwarded;
	// Each attempt is tracked, and a refused one did not run, so that it does not count as usage.
	assert.equal(runs, attempts.map(() => false));
	return attempts;
}

// Issue 37, review/4: a late second copy of a server's refusal was taken for the answer to the next attempt there, which ran.
test('a request that must not run twice gets a connection of its own at a server that has refused it', async () => {
	const attempts = await listRefusedAttempts('nonIdempotent');
	assert.is(attempts.length, 4);
	attempts.forEach(({serverId, isNew}, index) => {
		assert.is(isNew, attempts.slice(0, index).some(earlier => earlier.serverId === serverId), `attempt ${index + 1} at ${serverId}`);
	});
});

test('a request that may run twice uses the connections that are open', async () => {
	const attempts = await listRefusedAttempts('idempotent');
	assert.ok(attempts.length > 2 && attempts.every(({isNew}) => !isNew));
});

test('a request whose caller has left before it is forwarded reaches no server', async () => {
	assert.equal(await listRefusedAttempts('idempotent', AbortSignal.abort()), []);
});

// A repeated attempt without the organisation of its request would run for nobody.
test('each attempt of a request has its headers', async () => {
	const attempts = await listRefusedAttempts('idempotent');
	assert.ok(attempts.length > 2 && attempts.every(({headers}) => headers['X-Customer'] === 'a'));
});

// Incident docs/incidents/sent-after-the-end.md: a repeated scoring call of a batch that has ended meanwhile must not be sent.
test('each attempt of a request asks whether the work that it belongs to goes on', async () => {
	const attempts = await listRefusedAttempts('idempotent');
	assert.ok(attempts.length > 2 && attempts.every(attempt => attempt.work === work));
});

test.run();
