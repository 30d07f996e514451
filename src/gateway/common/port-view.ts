/** What daemons see of a backend server's port. One daemon's view is no proof: a partition refuses connections, or lets them hang, like a server that has ended. */
import type {PortState} from '../../limits/common/stopped-daemons.js';

/**
 * A server's port as one or several daemons see it. `closed` means that it refuses connections, and `silent` that they hang, while other servers can be reached;
 * `unknown` that the daemon's own links may be cut.
 */
export type PortView = 'open' | 'closed' | 'silent' | 'unknown';

/** The views on one server. */
export type PortViews = {
	readonly own: PortView;
	/** Views of other daemons that answered. */
	readonly others: readonly PortView[];
	/** Whether there are other daemons to ask. */
	readonly hasOthers: boolean;
	/** Whether the server has an entry. If it has none, that is evidence as well. */
	readonly isListed: boolean;
};

/** Order in which a view overrides others: whoever connects shows that the server's process runs. */
const BY_PRECEDENCE = ['open', 'closed', 'silent'] as const;

/** One daemon's view. `witness` is the state of another server's port; only if that one is open do the daemon's links work. */
export function describePort(port: PortState, witness: PortState): PortView {
	if (port === 'open') {
		return 'open';
	}

	return witness === 'open' ? (port === 'refused' ? 'closed' : 'silent') : 'unknown';
}

/** The state of a port that counts as proven. The own view counts alone where there is no other daemon, and where none answered but the entry was removed. */
export function combinePortViews({own, others, hasOthers, isListed}: PortViews): PortView {
	const countsOwn = own === 'open' || !hasOthers || (!isListed && others.length === 0);
	const views = countsOwn ? [own, ...others] : others;
	return BY_PRECEDENCE.find(view => views.includes(view)) ?? 'unknown';
}
