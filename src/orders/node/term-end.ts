/** Gives up what is under way when a term ends. */
import type {Disposable} from '../../base/common/disposable.js';
import type {Loop} from '../../kernel/common/loop.js';

/** Resolution of timers. A shorter rest of a term could round to no time at all. */
const MINIMUM_WAIT_MS = 1;

/** Aborts a signal at the end of a term, unless disposed before. `remainingMs` returns the time left, which renewals may prolong. */
export function watchTermEnd(remainingMs: () => number, loop: Loop): Disposable & {readonly signal: AbortSignal} {
	const controller = new AbortController();
	const watch = (): Disposable => loop.after(Math.max(MINIMUM_WAIT_MS, remainingMs()), () => {
		if (remainingMs() > 0) {
			timer = watch();
		} else {
			controller.abort();
		}
	});
	let timer = watch();
	return {
		signal: controller.signal,
		dispose() {
			timer.dispose();
		},
	};
}
