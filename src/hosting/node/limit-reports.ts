/** Reports how much of the limits for untrusted callers is in use, and what was given up because of them. */
import type {ByteBudget} from '../../base/common/byte-budget.js';
import type {ConnectionTable} from '../../base/common/connection-table.js';
import type {Disposable} from '../../base/common/disposable.js';
import {headBudget, requestBudget, responseBudget} from '../../base/common/message-budgets.js';
import type {Log} from '../../kernel/common/log.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {Metrics} from '../../kernel/common/metrics.js';

/** Dependencies of the reports. */
export type LimitReportDependencies = {
	readonly connections: ConnectionTable;
	readonly loop: Loop;
	readonly log: Log;
	readonly metrics: Metrics;
};

const PERIOD_MS = 5000;
const BUDGETS: Readonly<Record<string, ByteBudget>> = {requests: requestBudget, responses: responseBudget, heads: headBudget};

/** Starts the reports. */
export function startLimitReports({
	connections, loop, log, metrics,
}: LimitReportDependencies): Disposable {
	let last: Readonly<Record<string, number>> = {};
	return loop.every({
		name: 'report limits of callers',
		periodMs: PERIOD_MS,
		run() {
			const current = {
				connections: connections.closedCount(),
				...Object.fromEntries(Object.entries(BUDGETS).map(([name, budget]) => [name, budget.abortedCount()])),
			};
			const changed = Object.entries(current).flatMap(([name, count]) => (count > (last[name] ?? 0) ? [[name, count - (last[name] ?? 0)] as const] : []));
			last = current;
			metrics.gauge('callers.connections', connections.count());
			Object.entries(BUDGETS).forEach(([name, budget]) => {
				metrics.gauge('callers.held_bytes', budget.held(), {budget: name});
			});
			changed.forEach(([limit, count]) => {
				metrics.count('callers.limited', count, {limit});
			});
			if (changed.length > 0) {
				log.warn('limits of callers were reached', {
					...Object.fromEntries(changed), open: connections.count(), heldBytes: Object.fromEntries(Object.entries(BUDGETS).map(([name, budget]) => [name, budget.held()])),
				});
			}
		},
	});
}
