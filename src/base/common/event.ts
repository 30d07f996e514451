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
			// A wrapper keeps two subscriptions of one function apart.
			const own = (value: T) => {
				listener(value);
			};

			listeners.add(own);
			return createDisposable(() => {
				listeners.delete(own);
			});
		},
		fire(value) {
			[...listeners].forEach(listener => {
				listener(value);
			});
		},
	};
}
