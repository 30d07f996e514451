/** Authenticates callers by the `Authorization` header. */
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import {hashToHex} from '../../base/common/hash.js';
import type {Configuration} from '../../plans/common/configuration.js';
import type {Access, Principal} from './front.js';

/** Returns the caller for a route's access level and the value of the `Authorization` header. */
export type Authenticate = (access: Access, authorization: string | undefined) => Result<Principal, Failure>;

/** Number of characters of an operator key's digest that identify the operator. */
const OPERATOR_NAME_CHARACTERS = 8;

/** Creates the authentication; customer keys come from the configuration, hashes of operator keys from the settings. */
export function createAuthenticate(configuration: Configuration, operatorKeys: readonly string[]): Authenticate {
	const origin = {step: 'authenticate', peer: 'caller'};

	return (access, authorization) => {
		if (access === 'anyone') {
			return ok({kind: 'anyone'});
		}

		const key = /^bearer ([!-~]{1,256})$/i.exec(authorization ?? '')?.[1];
		if (key === undefined) {
			return err(createNotRun('unauthenticated', origin, 'an Authorization header with a bearer API key is missing'));
		}

		const plan = configuration.authenticate(key);
		const digest = hashToHex(key);
		const isOperator = operatorKeys.includes(digest);
		if (access === 'customer' && plan) {
			return ok({kind: 'customer', plan});
		}

		if (access === 'operator' && isOperator) {
			return ok({kind: 'operator', name: `operator-${digest.slice(0, OPERATOR_NAME_CHARACTERS)}`});
		}

		return plan !== undefined || isOperator
			? err(createNotRun('unauthorized', origin, `the API key has no ${access} access`))
			: err(createNotRun('unauthenticated', origin, 'the API key is unknown'));
	};
}
