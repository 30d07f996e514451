/** The end of a daemon as features see it: anyone may ask for it, and the outermost layer carries it out once. */
import {createEmitter, type Event} from '../../base/common/event.js';
import {createServiceKey} from './contribution.js';

/** Requests the end of the daemon. */
export type Lifecycle = {
	/** Asks for a graceful stop, as SIGTERM does. Further requests have no effect. */
	readonly requestStop: (reason: string) => void;
	/** Whether a stop was requested. */
	readonly isStopping: () => boolean;
	/** Fires once with the reason of the first request. */
	readonly onDidRequestStop: Event<string>;
};

/** Creates the lifecycle of one daemon. */
export function createLifecycle(): Lifecycle {
	const requested = createEmitter<string>();
	let stopping = false;
	return {
		requestStop(reason) {
			if (stopping) {
				return;
			}

			stopping = true;
			requested.fire(reason);
		},
		isStopping: () => stopping,
		onDidRequestStop: requested.event,
	};
}

/** The daemon's lifecycle, provided before any contribution starts. */
export const lifecycleKey = createServiceKey<Lifecycle>('lifecycle');
