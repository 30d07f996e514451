/** The loop of a running daemon, which uses Node's timers. */
import {setTimeout as delay} from 'node:timers/promises';
import type {Clock} from '../../base/common/clock.js';
import {createDisposable, type Disposable} from '../../base/common/disposable.js';
import {jitter, type Random} from '../../base/common/random.js';
import {describeError, type Log} from '../common/log.js';
import type {Loop, Task} from '../common/loop.js';

/** Creates a loop that uses Node's timers. When a timer or a task throws, the error is logged, and the task runs again after its period. */
export function createTimerLoop(clock: Clock, random: Random, log: Log): Loop {
	function after(delayMs: number, action: (now: number) => void): Disposable {
		const timer = setTimeout(() => {
			try {
				action(clock.monotonic());
			} catch (error) {
				log.error('timer failed', {error: describeError(error)});
			}
		}, Math.max(0, delayMs));
		return createDisposable(() => {
			clearTimeout(timer);
		});
	}

	async function runSafely(task: Task, now: number): Promise<void> {
		try {
			await task.run(now);
		} catch (error) {
			log.error('periodic task failed', {task: task.name, error: describeError(error)});
		}
	}

	function every(task: Task): Disposable {
		let isActive = true;
		let pendingTimer: Disposable | undefined;

		function schedule(): void {
			if (!isActive) {
				return;
			}

			pendingTimer = after(jitter(task.periodMs, task.jitterShare ?? 0, random), now => {
				void runSafely(task, now).then(schedule);
			});
		}

		schedule();
		return createDisposable(() => {
			isActive = false;
			pendingTimer?.dispose();
		});
	}

	return {
		after,
		every,
		async sleep(delayMs) {
			await delay(Math.max(0, delayMs));
		},
	};
}
