/** Typed events between modules of one process. */
import {createDisposable, type Disposable} from './disposable.js';

/** Subscribes a listener; the disposable ends the subscription. */
export type Event<T> = (listener: (value: T) => void) => Disposable;

/** The firing side of an event. */
export type Emitter<T> = {
	readonly event: Event<T>;
	readonly fire: (value: T) => void;
};

/** Creates an emitter. Listeners run in order of subscription, within the call to `fire`. */
export function createEmitter<T>(): Emitter<T> {
	const listeners = new Set<(value: T) => void>();
	return {
		event(listener) {
			// The wrapper makes each subscription a separate entry of the set, also when a function subscribes twice.
			const wrapper = (value: T) => {
				listener(value);
			};

			listeners.add(wrapper);
			return createDisposable(() => {
				listeners.delete(wrapper);
			});
		},
		fire(value) {
			[...listeners].forEach(listener => {
				listener(value);
			});
		},
	};
}
