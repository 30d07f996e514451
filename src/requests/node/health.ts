/** Health route; the platform's load balancer uses it to decide whether to send callers to this daemon. */
import type {Route} from '../common/front.js';
import type {FrontServer} from './front-server.js';
import {sendJson} from './respond.js';

/** Creates the health route; responds with 503 while the server drains. */
export function createHealthRoute(front: Pick<FrontServer, 'draining'>): Route {
	return {
		method: 'GET',
		path: '/v1/health',
		access: 'anyone',
		async handle(_request, response) {
			const draining = front.draining();
			sendJson(response, draining ? 503 : 200, {state: draining ? 'draining' : 'serving'});
		},
	};
}
