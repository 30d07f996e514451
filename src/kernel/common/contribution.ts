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

/** Names a service of type T in the kernel's registry. Create one per service, next to the service's type. */
export type ServiceKey<T> = {
	readonly name: string;
	/** Carries the type only; never set. */
	readonly type?: T;
};

/** Creates a service key. */
export function createServiceKey<T>(name: string): ServiceKey<T> {
	return {name};
}

/** What the kernel hands to a contribution as it starts. */
export type Context = {
	readonly clock: Clock;
	readonly random: Random;
	readonly loop: Loop;
	readonly log: Log;
	readonly metrics: Metrics;
	/** Returns a service that a required contribution provided. Throws when none did: that is a fault of the plug-in. */
	readonly use: <T>(key: ServiceKey<T>) => T;
	/** Offers a service to contributions that start later. */
	readonly provide: <T>(key: ServiceKey<T>, service: T) => void;
	/**
	 * Registers what opens the daemon to the outside, such as a listening port: called once every contribution has started
	 * and registered its services and routes, awaited in order of registration. A throw fails the start of the kernel.
	 */
	readonly onDidStart: (listener: () => Promise<void> | void) => void;
};

/** What a started contribution leaves behind. */
export type Activation = Disposable & {
	/**
	 * Finishes work in progress before the stop: called in reverse order of start, awaited, then `dispose` follows.
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
