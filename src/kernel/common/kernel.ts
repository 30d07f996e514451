/** Starts contributions in order, holds their services, and stops them in reverse. */
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import type {
	Activation, Context, Contribution, ServiceKey,
} from './contribution.js';
import {orderContributions} from './start-order.js';

/** What the kernel itself is given: everything of a context but the services. */
export type Surroundings = Omit<Context, 'use' | 'provide'>;

/** A set of running contributions. */
export type Kernel = {
	/** Starts all contributions. On a failure those already started are disposed. */
	readonly start: () => Promise<Result<void, Failure>>;
	/** Drains in reverse order of start, then disposes in the same order. */
	readonly stop: () => Promise<void>;
	/** Returns a provided service; throws when it was not provided. */
	readonly use: <T>(key: ServiceKey<T>) => T;
};

type Started = {
	readonly id: string;
	readonly activation: Activation;
};

/** Creates a kernel over the given contributions. `provided` offers services before any contribution starts. */
export function createKernel(surroundings: Surroundings, contributions: readonly Contribution[], provide: (context: Context) => void): Kernel {
	const services = new Map<string, unknown>();
	const started: Started[] = [];

	const context: Context = {
		...surroundings,
		use<T>(key: ServiceKey<T>): T {
			if (!services.has(key.name)) {
				throw new Error(`service ${key.name} was not provided`);
			}

			// A key carries the type of the service stored under it.
			// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
			return services.get(key.name) as T;
		},
		provide<T>(key: ServiceKey<T>, service: T) {
			services.set(key.name, service);
		},
	};

	async function startOne(contribution: Contribution): Promise<Result<void, Failure>> {
		try {
			const activation = await contribution.start({...context, log: context.log.child({feature: contribution.id})});
			started.push({id: contribution.id, activation});
			return ok();
		} catch (error) {
			return err(createNotRun('unavailable', {step: 'start contribution', peer: contribution.id}, String(error)));
		}
	}

	function disposeStarted(): void {
		started.splice(0).toReversed().forEach(entry => {
			entry.activation.dispose();
		});
	}

	async function drainOne(entry: Started): Promise<void> {
		try {
			await entry.activation.drain?.();
		} catch (error) {
			context.log.error('drain failed', {contribution: entry.id, error: String(error)});
		}
	}

	return {
		async start() {
			provide(context);
			const order = orderContributions(contributions);
			if (order.isErr()) {
				return err(order.error);
			}

			const initial: Promise<Result<void, Failure>> = Promise.resolve(ok());
			const outcome = await order.value.reduce(async (previous, contribution) => {
				const before = await previous;
				return before.isErr() ? before : startOne(contribution);
			}, initial);
			if (outcome.isErr()) {
				disposeStarted();
			}

			return outcome;
		},
		async stop() {
			await started.toReversed().reduce(async (previous, entry) => {
				await previous;
				await drainOne(entry);
			}, Promise.resolve());
			disposeStarted();
		},
		use: context.use,
	};
}
