/** Applies the authorization of callers: which requests are refused and how, and which headers about the caller reach a server. */
import type {Clock} from '../../base/common/clock.js';
import type {BatchReader} from '../../batches/common/batch-access.js';
import type {DeploymentHolder, Route, Organisation} from '../../gateway/common/deployment.js';
import type {Metrics} from '../../kernel/common/metrics.js';
import {authorize} from '../../organisations/common/authorization.js';
import type {CallerProtocol} from '../common/caller-protocol.js';

/** Why a request is refused. */
export type AdmissionRefusal
	= | {readonly kind: 'denied'; readonly reason: string}
	/** Another daemon, or this one a little later, may admit it. */
		| {readonly kind: 'unknown'; readonly reason: string};

/** The admission of a request. */
export type CallerAdmission
	= | AdmissionRefusal
		| {
			readonly kind: 'admitted';
			readonly organisation: Organisation | undefined;
			/** On whose behalf batches are read; undefined when a newer configuration may have organisations. */
			readonly reader: BatchReader | undefined;
			/** Lower-case names of the caller's headers that servers must not get. */
			readonly withheldHeaders: readonly string[];
			/** Headers that servers get in addition to the caller's. */
			readonly addedHeaders: Readonly<Record<string, string>>;
		};

/** Admits callers' requests. */
export type CallerAdmissions = {
	/** Whether requests need the key of an organisation. */
	readonly isRequired: () => boolean;
	/** Decides on a request by its headers, as names and values by turns. `route` is undefined for requests about batches. */
	readonly admit: (rawHeaders: readonly string[], route: Route | undefined) => CallerAdmission;
};

/** Dependencies of the admissions. */
export type CallerAdmissionDependencies = {
	readonly protocol: Pick<CallerProtocol, 'credentialHeaders' | 'readCredentials' | 'buildOrganisationHeaders'>;
	readonly deployment: Pick<DeploymentHolder, 'current' | 'findOrganisation' | 'mayBeOutdated'>;
	readonly clock: Clock;
	readonly metrics: Metrics;
};

/** Creates the admissions of a daemon. */
export function createCallerAdmissions({protocol, deployment, clock, metrics}: CallerAdmissionDependencies): CallerAdmissions {
	const isRequired = (): boolean => deployment.current()?.tenancy?.kind === 'required';
	return {
		isRequired,
		admit(rawHeaders, route) {
			const credentials = protocol.readCredentials(rawHeaders);
			const isOutdated = deployment.mayBeOutdated(clock.monotonic());
			const authorization = authorize(deployment, route, credentials, isOutdated);
			if (authorization.kind === 'denied') {
				const isMissing = credentials.kind === 'none';
				metrics.count('request.denied', 1, {key: isMissing ? 'missing' : 'unknown'});
				return {kind: 'denied', reason: isMissing ? 'no key' : 'unknown key'};
			}

			if (authorization.kind === 'unknown') {
				return {kind: 'unknown', reason: isRequired() ? 'unknown key in a configuration that may be outdated' : 'no configuration that tells whether keys are required'};
			}

			const {organisation} = authorization;
			const reader: BatchReader | undefined = organisation === undefined ? (isOutdated ? undefined : {kind: 'any'}) : {kind: 'ofOrganisation', name: organisation.name};
			return {
				kind: 'admitted',
				organisation,
				reader,
				withheldHeaders: isRequired() ? protocol.credentialHeaders : [],
				addedHeaders: organisation === undefined ? {} : protocol.buildOrganisationHeaders(organisation.name),
			};
		},
	};
}
