/** Decides whether a request may run, and for which organisation, by the key that it carries. */
import type {DeploymentHolder, Route, Organisation} from '../../gateway/common/deployment.js';

/** The key of a request. */
export type Credentials
	= | {readonly kind: 'none'}
		| {readonly kind: 'key'; readonly key: string}
	/** The request has credentials, but not one key: they are of another scheme, or there are several. */
		| {readonly kind: 'unreadable'};

/** Whether a request may run. */
export type Authorization
	/** The organisation is undefined without organisations in the configuration, and for requests without a known key on public routes. */
	= | {readonly kind: 'admitted'; readonly organisation: Organisation | undefined}
		| {readonly kind: 'denied'}
	/** This daemon can't tell at present. */
		| {readonly kind: 'unknown'};

/** Whether a route takes requests without a key. The submission of a batch always needs one, because a batch belongs to an organisation. */
function isOpen(route: Route | undefined): boolean {
	return route?.isPublic === true && route.repeatability !== 'batch';
}

/** Decides on a request. `route` is undefined for requests about batches. `mayBeOutdated` tells that a newer configuration may contain the key. */
export function authorize(deployment: Pick<DeploymentHolder, 'current' | 'findOrganisation'>, route: Route | undefined, credentials: Credentials, mayBeOutdated: boolean): Authorization {
	const tenancy = deployment.current()?.tenancy;
	if (tenancy === undefined) {
		return {kind: 'unknown'};
	}

	if (tenancy.kind === 'none') {
		return {kind: 'admitted', organisation: undefined};
	}

	const organisation = credentials.kind === 'key' ? deployment.findOrganisation(credentials.key) : undefined;
	if (organisation !== undefined || isOpen(route)) {
		return {kind: 'admitted', organisation};
	}

	return credentials.kind === 'key' && mayBeOutdated ? {kind: 'unknown'} : {kind: 'denied'};
}
