/** Starts contributions in order, holds their services, and stops them in reverse. */
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import type {
	Activation, Context, Contribution, ServiceKey,
} from './contribution.js';
import {orderContributions} from './start-order.js';

/** What the kernel itself is given: everything of a context but the services and the kernel's own events. */
export type Surroundings = Omit<Context, 'use' | 'provide' | 'onDidStart'>;

/** A set of running contributions. */
export type Kernel = {
	/** Starts all contributions. On a failure those already started are disposed. */
	readonly start: () => Promise<Result<void, Failure>>;
	/**
	 * Drains in reverse order of start, then disposes in the same order. Resolves with false when the drain was cut off
	 * after `limitMs`; without a limit it waits for as long as the work takes.
	 */
	readonly stop: (limitMs?: number) => Promise<boolean>;
	/** Returns a provided service; throws when it was not provided. */
	readonly use: <T>(key: ServiceKey<T>) => T;
};

type Started = {
	readonly id: string;
	readonly activation: Activation;
};

async function runStep(action: () => Promise<void> | void, step: string, peer: string): Promise<Result<void, Failure>> {
	try {
		await action();
		return ok();
	} catch (error) {
		return err(createNotRun('unavailable', {step, peer}, error instanceof Error ? error.message : String(error)));
	}
}

async function runInOrder(steps: ReadonlyArray<() => Promise<Result<void, Failure>>>): Promise<Result<void, Failure>> {
	const initial: Promise<Result<void, Failure>> = Promise.resolve(ok());
	return steps.reduce(async (previous, step) => {
		const before = await previous;
		return before.isErr() ? before : step();
	}, initial);
}

/** Creates a kernel over the given contributions. `provided` offers services before any contribution starts. */
export function createKernel(surroundings: Surroundings, contributions: readonly Contribution[], provide: (context: Context) => void): Kernel {
	const services = new Map<string, unknown>();
	const started: Started[] = [];
	const listeners: Array<() => Promise<Result<void, Failure>>> = [];

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
		onDidStart() {
			throw new Error('only contributions may wait for the start');
		},
	};

	function createContext(contribution: Contribution): Context {
		return {
			...context,
			log: context.log.child({feature: contribution.id}),
			onDidStart(listener) {
				listeners.push(async () => runStep(listener, 'open contribution', contribution.id));
			},
		};
	}

	async function startOne(contribution: Contribution): Promise<Result<void, Failure>> {
		return runStep(async () => {
			const activation = await contribution.start(createContext(contribution));
			started.push({id: contribution.id, activation});
		}, 'start contribution', contribution.id);
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

	async function drainAll(): Promise<boolean> {
		await started.toReversed().reduce(async (previous, entry) => {
			await previous;
			await drainOne(entry);
		}, Promise.resolve());
		return true;
	}

	async function drainWithin(limitMs: number): Promise<boolean> {
		return new Promise(resolve => {
			const limit = context.loop.after(limitMs, () => {
				resolve(false);
			});
			void drainAll().then(() => {
				limit.dispose();
				resolve(true);
			});
		});
	}

	return {
		async start() {
			provide(context);
			const order = orderContributions(contributions);
			if (order.isErr()) {
				return err(order.error);
			}

			const startedAll = await runInOrder(order.value.map(contribution => async () => startOne(contribution)));
			const outcome = startedAll.isErr() ? startedAll : await runInOrder(listeners);
			if (outcome.isErr()) {
				disposeStarted();
			}

			return outcome;
		},
		async stop(limitMs) {
			const drained = limitMs === undefined ? await drainAll() : await drainWithin(limitMs);
			disposeStarted();
			return drained;
		},
		use: context.use,
	};
}
