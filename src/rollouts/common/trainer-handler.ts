/**
 * Handles the calls of trainers on any daemon: locally when this daemon owns the trainer, otherwise by a call to the owner.
 * Posting a step and pulling are both idempotent, so a call is retried when the owner has changed.
 */
import {err, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import type {Loop} from '../../kernel/common/loop.js';
import {shardOf, type ShardOwner, type Shards} from '../../leases/common/shards.js';
import type {Batch, PullRequest, StepRequest} from './step.js';
import type {TrainerOwner} from './trainer-owner.js';

/** Handles the calls of trainers. */
export type TrainerHandler = {
	readonly postStep: (request: StepRequest) => Promise<Result<number, Failure>>;
	readonly pull: (request: PullRequest) => Promise<Result<Batch, Failure>>;
};

/** Dependencies of a handler. */
export type TrainerHandlerOptions = {
	readonly daemonId: string;
	readonly shards: Pick<Shards, 'count' | 'holding' | 'owner' | 'reportWrongOwner'>;
	readonly loop: Pick<Loop, 'sleep'>;
	readonly monotonic: () => number;
	/** Returns the handler of a trainer that this daemon owns. */
	readonly local: (trainer: string) => TrainerHandler;
	/** Returns the client of the daemon that owns the trainer. */
	readonly remote: (owner: ShardOwner) => TrainerHandler;
};

const ATTEMPTS = 3;
const RETRY_MS = 200;
const RETRY_AFTER_MS = 1000;

/** Creates the handler of a daemon. */
export function createTrainerHandler(options: TrainerHandlerOptions): TrainerHandler {
	const {shards, monotonic} = options;

	function findHandler(trainer: string): {readonly handler: TrainerHandler; readonly owner: ShardOwner | undefined} | undefined {
		const shard = shardOf('trainer', trainer, shards.count);
		if (shards.holding(shard, monotonic()) !== undefined) {
			return {handler: options.local(trainer), owner: undefined};
		}

		const owner = shards.owner(shard, monotonic());
		return owner === undefined || owner.daemonId === options.daemonId ? undefined : {handler: options.remote(owner), owner};
	}

	async function call<T>(trainer: string, run: (handler: TrainerHandler) => Promise<Result<T, Failure>>, attemptsLeft: number): Promise<Result<T, Failure>> {
		const found = findHandler(trainer);
		const refusal = createNotRun('unavailable', {step: 'find owner of trainer', peer: trainer}, 'no daemon is known to own the trainer', RETRY_AFTER_MS);
		const answer = found === undefined ? err(refusal) : await run(found.handler);
		const isWrongOwner = answer.isErr() && (found === undefined || ['notOwner', 'fenced'].includes(answer.error.code));
		if (!isWrongOwner) {
			return answer;
		}

		if (found?.owner !== undefined) {
			shards.reportWrongOwner(found.owner.shard, found.owner.daemonId);
		}

		if (attemptsLeft === 1) {
			return err(refusal);
		}

		await options.loop.sleep(RETRY_MS);
		return call(trainer, run, attemptsLeft - 1);
	}

	return {
		postStep: async request => call(request.trainer, async handler => handler.postStep(request), ATTEMPTS),
		pull: async request => call(request.trainer, async handler => handler.pull(request), ATTEMPTS),
	};
}

/** The owners of trainers on one daemon, created on first use. */
export type TrainerOwners = {
	readonly get: (trainer: string) => TrainerOwner;
	readonly all: () => ReadonlyMap<string, TrainerOwner>;
	/** Removes an owner and cancels its streams; to be called once another daemon owns the trainer. */
	readonly drop: (trainer: string) => void;
};

/** Creates an empty set of owners. */
export function createTrainerOwners(create: (trainer: string) => TrainerOwner): TrainerOwners {
	const owners = new Map<string, TrainerOwner>();
	return {
		get(trainer) {
			const owner = owners.get(trainer) ?? create(trainer);
			owners.set(trainer, owner);
			return owner;
		},
		all: () => owners,
		drop(trainer) {
			owners.get(trainer)?.dispose();
			owners.delete(trainer);
		},
	};
}
