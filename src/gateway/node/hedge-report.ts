/** Reports the hedges of a daemon to its log and metrics. */
import type {Disposable} from '../../base/common/disposable.js';
import type {Context} from '../../kernel/common/contribution.js';
import type {HedgePolicy} from '../common/hedge-policy.js';

/** Time between reports, in milliseconds. */
const REPORT_PERIOD_MS = 10_000;

/** Reports per pool until disposed. */
export function reportHedges({loop, log, metrics}: Pick<Context, 'loop' | 'log' | 'metrics'>, policy: HedgePolicy): Disposable {
	return loop.every({
		name: 'report of hedges',
		periodMs: REPORT_PERIOD_MS,
		run(now) {
			policy.takeFigures(now).forEach(({
				pool, requests, sent, won, delayMs, samples,
			}) => {
				const share = requests > 0 ? sent / requests : 0;
				metrics.count('hedge.requests', requests, {pool});
				metrics.count('hedge.won', won, {pool});
				metrics.gauge('hedge.share', share, {pool});
				metrics.gauge('hedge.delay_ms', delayMs ?? 0, {pool});
				if (sent > 0) {
					log.info('hedges of a pool', {
						pool, requests, sent, won, share: Number(share.toFixed(3)), delayMs: delayMs === undefined ? undefined : Math.round(delayMs), samples, periodMs: REPORT_PERIOD_MS,
					});
				}
			});
		},
	});
}
