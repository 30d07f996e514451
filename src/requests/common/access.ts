/** Decides who a caller is from the `Authorization` header. */
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import {hashToHex} from '../../base/common/hash.js';
import type {Configuration} from '../../plans/common/configuration.js';
import type {Access, Principal} from './front.js';

/** Finds out who is calling. */
export type Authenticate = (access: Access, authorization: string | undefined) => Result<Principal, Failure>;

/** Characters of an operator key's digest that name the operator. */
const OPERATOR_NAME_CHARACTERS = 8;

/** Creates the check over customers' keys of the configuration and operators' keys of the settings. */
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
			? err(createNotRun('unauthorized', origin, `the key gives no ${access} access`))
			: err(createNotRun('unauthenticated', origin, 'the API key is unknown'));
	};
}
