import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {err, ok, type Result} from 'neverthrow';
import {createVirtualTime} from '../../../test/fakes/virtual-loop.js';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../base/common/failure.js';
import {silentLog} from '../../kernel/common/log.js';
import {silentMetrics} from '../../kernel/common/metrics.js';
import {createLimitUsage} from '../../limits/common/limit-usage.js';
import {createServerLimits} from '../../limits/common/server-limits.js';
import type {PeerDaemon} from '../../peers/common/peer-mesh.js';
import {createOpenAttempts} from '../common/open-attempts.js';
import {createRelayChoice} from '../common/relay-choice.js';
import {createServerLinks} from '../common/server-links.js';
import {createServerStatements} from '../common/server-statements.js';
import type {RelayCall} from '../common/relay.js';
import type {WorkState} from '../common/work-status.js';
import {createRelayingCaller} from '../node/relaying-caller.js';
import type {BackendResponse} from '../node/server-caller.js';
import {IdProtocol} from './id-protocol.js';

const test = suite('attempts over other daemons');
const origin = {step: 'call backend server', peer: 's'};
const createPeer = (name: string): PeerDaemon => ({
	name, incarnation: '1', ip: name, port: 1, region: 'r', availabilityZone: 'z',
});

type CutAttempt = {
	/** How the first send ends. */
	readonly first: Failure;
	/** Status and headers of the response over another daemon. */
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	/** States of the attempt's work, in the order in which they are asked for; the last one stays. */
	readonly states?: readonly WorkState[];
};

const attemptAcrossCut = async (first: Failure, status: number, headers: Readonly<Record<string, string>>) => attemptAfterCut({first, status, headers}).then(({result}) => result);

/** Makes an attempt whose link is cut before its response. */
async function attemptAfterCut({first, status, headers, states}: CutAttempt): Promise<{readonly result: Result<BackendResponse, Failure>; readonly calls: readonly RelayCall[]}> {
	const {clock} = createVirtualTime();
	const left = [...states ?? []];
	const calls: RelayCall[] = [];
	const attempts = createOpenAttempts();
	const limits = createServerLimits();
	const caller = createRelayingCaller({
		direct: {
			async attempt() {
				attempts.cut('p');
				return err(first);
			},
			close: () => undefined,
		},
		links: createServerLinks(() => 1),
		attempts,
		choice: createRelayChoice(createPeer('a'), () => 0.5),
		transport: {
			async send(_peer, call, sink) {
				calls.push(call);
				sink.onHead({status, headers});
				return {kind: 'ended', result: ok()};
			},
		},
		mesh: {others: () => [createPeer('b')]},
		protocol: new IdProtocol(),
		statements: createServerStatements({
			startTimeOf: () => undefined, onLeaving: () => undefined, limits, limitUsage: createLimitUsage(limits),
		}),
		clock,
		log: silentLog,
		metrics: silentMetrics,
	});
	const result = await caller.attempt({
		id: 's', pool: 'p', address: '127.0.0.1', port: 1, availabilityZone: 'z', region: 'r', state: 'live',
	}, {
		method: 'POST', path: '/', headers: {}, body: undefined,
	}, {requestId: 'r1', remainingMs: 1000, serverId: 's'}, {
		timeoutMs: 1000, signal: new AbortController().signal, onCut: () => 'restart', ...(states !== undefined && {work: {read: () => (left.length > 1 ? left.shift()! : left[0]!), refresh: async () => undefined}}),
	});
	return {result, calls};
}

const describe = (result: Result<BackendResponse, Failure>): string | number => result.match(({status}) => status, ({effect}) => effect);

// Soak seed 780017: a stream was answered 503 and ran. Its first send had reached the server before the link was cut, and the second was refused.
test('a refusal of a request that was sent again after a cut does not say that it has not run', async () => {
	const sent = createOutcomeUnknown('aborted', origin, 'aborted');
	assert.is(describe(await attemptAcrossCut(sent, 503, {'x-skipped': '1'})), 'outcomeUnknown');
	assert.is(describe(await attemptAcrossCut(sent, 421, {'request-id': 'r1'})), 'outcomeUnknown');
	assert.is(describe(await attemptAcrossCut(sent, 200, {'request-id': 'r1'})), 200);
	assert.is(describe(await attemptAcrossCut(sent, 500, {'request-id': 'r1'})), 500);
});

test('it does when the first send did not reach the server', async () => {
	const unsent = createNotRun('aborted', origin, 'aborted');
	assert.is(describe(await attemptAcrossCut(unsent, 503, {'x-skipped': '1'})), 503);
});

// Incident docs/incidents/sent-after-the-end.md: an attempt that goes on over another daemon was sent without a look at the state of its batch.
test('an attempt that goes on over another daemon asks for the state of its work again, and states it', async () => {
	const unsent = createNotRun('aborted', origin, 'aborted');
	const ended = await attemptAfterCut({
		first: unsent, status: 200, headers: {'request-id': 'r1'}, states: [{kind: 'ended'}],
	});
	assert.is(describe(ended.result), 'notRun');
	assert.is(ended.calls.length, 0);
	const state = {kind: 'confirmed', beginWithinMs: 1200} as const;
	const going = await attemptAfterCut({
		first: unsent, status: 200, headers: {'request-id': 'r1'}, states: [state],
	});
	assert.is(describe(going.result), 200);
	assert.equal(going.calls.map(({work}) => work), [state]);
});

test.run();
