/** Starts contributions in the order of their requirements, keeps their services, and stops them in reverse order. */
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import type {
	Activation, Context, Contribution, ServiceKey,
} from './contribution.js';
import {orderContributions} from './start-order.js';

/** The part of a context that the kernel does not create itself: everything except services and `onDidStart`. */
export type Surroundings = Omit<Context, 'use' | 'provide' | 'onDidStart'>;

/** A set of running contributions. */
export type Kernel = {
	/** Starts all contributions. On a failure, the ones already started are disposed. */
	readonly start: () => Promise<Result<void, Failure>>;
	/**
	 * Drains in reverse order of start, then disposes in the same order. Resolves with false when draining took longer than
	 * `limitMs`; without a limit it waits until all work is finished.
	 */
	readonly stop: (limitMs?: number) => Promise<boolean>;
	/** Returns a provided service; throws when it was not provided. */
	readonly use: <T>(key: ServiceKey<T>) => T;
};

type StartedContribution = {
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

/** Creates a kernel for the given contributions. `provide` provides services before any contribution starts. */
export function createKernel(surroundings: Surroundings, contributions: readonly Contribution[], provide: (context: Context) => void): Kernel {
	const services = new Map<string, unknown>();
	const started: StartedContribution[] = [];
	const startListeners: Array<() => Promise<Result<void, Failure>>> = [];

	const context: Context = {
		...surroundings,
		use<T>(key: ServiceKey<T>): T {
			if (!services.has(key.name)) {
				throw new Error(`service ${key.name} was not provided`);
			}

			// A key has the type of the service that is stored under its name.
			// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
			return services.get(key.name) as T;
		},
		provide<T>(key: ServiceKey<T>, service: T) {
			services.set(key.name, service);
		},
		onDidStart() {
			throw new Error('onDidStart is available only in the context of a contribution');
		},
	};

	function createContext(contribution: Contribution): Context {
		return {
			...context,
			log: context.log.child({feature: contribution.id}),
			onDidStart(listener) {
				startListeners.push(async () => runStep(listener, 'open contribution', contribution.id));
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

	async function drainOne(entry: StartedContribution): Promise<void> {
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
			const limitTimer = context.loop.after(limitMs, () => {
				resolve(false);
			});
			void drainAll().then(() => {
				limitTimer.dispose();
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

			const startOutcome = await runInOrder(order.value.map(contribution => async () => startOne(contribution)));
			const outcome = startOutcome.isErr() ? startOutcome : await runInOrder(startListeners);
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
