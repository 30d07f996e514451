/** Stopping a daemon: any feature may request it, and the code that started the daemon carries it out once. */
import {createEmitter, type Event} from '../../base/common/event.js';
import {createServiceKey} from './contribution.js';

/** Requests and reports the stop of the daemon. */
export type Lifecycle = {
	/** Requests a graceful stop, as SIGTERM does. Further requests have no effect. */
	readonly requestStop: (reason: string) => void;
	/** Whether a stop was requested. */
	readonly isStopping: () => boolean;
	/** Fires once with the reason of the first request. */
	readonly onDidRequestStop: Event<string>;
};

/** Creates the lifecycle of one daemon. */
export function createLifecycle(): Lifecycle {
	const stopRequested = createEmitter<string>();
	let isStopRequested = false;
	return {
		requestStop(reason) {
			if (isStopRequested) {
				return;
			}

			isStopRequested = true;
			stopRequested.fire(reason);
		},
		isStopping: () => isStopRequested,
		onDidRequestStop: stopRequested.event,
	};
}

/** The daemon's lifecycle, provided before any contribution starts. */
export const lifecycleKey = createServiceKey<Lifecycle>('lifecycle');
