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
import {createRelayingCaller} from '../node/relaying-caller.js';
import type {BackendResponse} from '../node/server-caller.js';
import {IdProtocol} from './id-protocol.js';

const test = suite('attempts over other daemons');
const origin = {step: 'call backend server', peer: 's'};
const createPeer = (name: string): PeerDaemon => ({
	name, incarnation: '1', ip: name, port: 1, region: 'r', availabilityZone: 'z',
});

/** Makes an attempt whose link is cut before its response; \`first\` is how it ends, and \`headers\` are those of the response over another daemon. */
async function attemptAcrossCut(first: Failure, status: number, headers: Readonly<Record<string, string>>): Promise<Result<BackendResponse, Failure>> {
	const {clock} = createVirtualTime();
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
			async send(_peer, _call, sink) {
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
	return caller.attempt({
		id: 's', pool: 'p', address: '127.0.0.1', port: 1, availabilityZone: 'z', region: 'r', state: 'live',
	}, {
		method: 'POST', path: '/', headers: {}, body: undefined,
	}, {requestId: 'r1', remainingMs: 1000, serverId: 's'}, {timeoutMs: 1000, signal: new AbortController().signal, onCut: () => 'restart'});
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

test.run();
