/** Gives up what is under way when a term ends. */
import type {Disposable} from '../../base/common/disposable.js';
import type {Loop} from '../../kernel/common/loop.js';

/** Aborts a signal at the end of a term, unless disposed before. `remainingMs` returns the time left, which renewals may prolong. */
export function watchTermEnd(remainingMs: () => number, loop: Loop): Disposable & {readonly signal: AbortSignal} {
	const controller = new AbortController();
	const watch = (): Disposable => loop.after(Math.max(0, remainingMs()), () => {
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
