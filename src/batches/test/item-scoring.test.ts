import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import PQueue from 'p-queue';
import {ok} from 'neverthrow';
import {createVirtualTime} from '../../../test/fakes/virtual-loop.js';
import {createDeploymentHolder} from '../../gateway/common/deployment.js';
import type {PlainRequest} from '../../gateway/node/forwarder.js';
import {silentLog} from '../../kernel/common/log.js';
import {createItemScoring} from '../node/item-scoring.js';

const test = suite('item scoring');

// Guards against slow scoring calls that hold up a step because the kind of their route forbids a second attempt.
test('a scoring call may be hedged whatever the kind of its route, and goes to two servers at most', async () => {
	const {clock, loop} = createVirtualTime();
	const deployment = createDeploymentHolder();
	deployment.offer({
		version: 1, pools: [], limits: {maximumBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1}, routes: [{
			name: 'r', host: 'h', pathPrefix: '/', repeatability: 'nonIdempotent', timeoutMs: 2000, goalMs: 500, priority: 1, attempts: 4, pools: [], canResume: false, dueMs: 0, giveUpAfterMs: 0, needsSingleVersion: false,
		}],
	});
	const sent: PlainRequest[] = [];
	const scoring = createItemScoring('b', {
		deployment,
		clock,
		loop,
		log: silentLog,
		scoring: new PQueue(),
		work: {read: () => ({kind: 'confirmed', beginWithinMs: 1000}), refresh: async () => undefined},
		forwarder: {
			async forward(request) {
				sent.push(request);
				return ok({
					status: 200, headers: {}, body: new Uint8Array(), head: {
						status: 200, requestId: 'q', isNotRun: false, isOtherServer: false, isLeaving: false, limitPerSecond: undefined, load: undefined, signature: '0.5', version: undefined,
					},
				});
			},
			whenIdle: async () => undefined,
		},
	}, new AbortController().signal, () => false);
	assert.is(await scoring.score({
		requestId: 'q', host: 'h', path: '/', body: '',
	}), '0.5');
	assert.equal(sent.map(({route}) => [route.repeatability, route.attempts]), [['idempotent', 2]]);
});

test.run();
