/**
 * The plug-in contract. A contribution registers itself when its module is imported; the kernel starts the registered
 * contributions in the order of their requirements and stops them in reverse.
 */
import type {Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import type {Random} from '../../base/common/random.js';
import type {Log} from './log.js';
import type {Loop} from './loop.js';
import type {Metrics} from './metrics.js';

/** Identifies a service of type T in the kernel. Create one key per service, next to the service's type. */
export type ServiceKey<T> = {
	readonly name: string;
	/** Only for type inference; never set. */
	readonly type?: T;
};

/** Creates a service key. */
export function createServiceKey<T>(name: string): ServiceKey<T> {
	return {name};
}

/** What the kernel passes to a contribution when it starts. */
export type Context = {
	readonly clock: Clock;
	readonly random: Random;
	readonly loop: Loop;
	readonly log: Log;
	readonly metrics: Metrics;
	/** Returns a service that a required contribution provided. Throws when it was not provided, which is a programming error of the plug-in. */
	readonly use: <T>(key: ServiceKey<T>) => T;
	/** Provides a service to contributions that start later. */
	readonly provide: <T>(key: ServiceKey<T>, service: T) => void;
	/**
	 * Registers a listener that makes the daemon reachable, such as one that opens a port. Listeners run after all
	 * contributions have started and registered their services and routes, one after another in order of registration. A
	 * listener that throws makes the start of the kernel fail.
	 */
	readonly onDidStart: (listener: () => Promise<void> | void) => void;
};

/** Ends a started contribution. */
export type Activation = Disposable & {
	/**
	 * Finishes work in progress before the stop. Called and awaited in reverse order of start, before any `dispose`.
	 * New work must be refused from the moment of the call.
	 */
	readonly drain?: () => Promise<void>;
};

/** A plug-in. */
export type Contribution = {
	readonly id: string;
	/** Ids of contributions that must have started before. */
	readonly requires: readonly string[];
	readonly start: (context: Context) => Promise<Activation> | Activation;
};
