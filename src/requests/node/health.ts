/** The health route, by which the platform's balancer decides whether to send callers here. */
import type {Route} from '../common/front.js';
import type {FrontServer} from './front-server.js';
import {sendJson} from './respond.js';

/** Creates the health route of a front. */
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
