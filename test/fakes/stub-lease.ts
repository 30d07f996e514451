/** A lease on orders whose holder the test decides. */
import type {OrderLease} from '../../src/orders/node/order-lease.js';

/** Creates the lease of one daemon; `fencing` returns its fencing number, undefined while it does not hold the lease. */
export function createStubLease(fencing: (now: number) => number | undefined): Pick<OrderLease, 'fencing' | 'act'> {
	return {
		fencing,
		async act(action) {
			const current = fencing(0);
			return current === undefined ? undefined : action({fencing: current, isCurrent: () => fencing(0) === current, signal: new AbortController().signal});
		},
	};
}
