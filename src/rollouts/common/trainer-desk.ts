/**
 * Answers trainers at whichever daemon they call: here when this daemon owns the trainer, else through the owner. A step
 * and a pull may both be repeated, so a call is tried again when the owner has changed.
 */
import {err, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import type {Loop} from '../../kernel/common/loop.js';
import {shardOf, type ShardOwner, type Shards} from '../../leases/common/shards.js';
import type {Batch, PullRequest, StepRequest} from './step.js';
import type {TrainerOwner} from './trainer-owner.js';

/** What answers a trainer. */
export type TrainerDesk = {
	readonly postStep: (request: StepRequest) => Promise<Result<number, Failure>>;
	readonly pull: (request: PullRequest) => Promise<Result<Batch, Failure>>;
};

/** What a desk needs. */
export type TrainerDeskOptions = {
	readonly daemonId: string;
	readonly shards: Pick<Shards, 'count' | 'holding' | 'owner' | 'reportWrongOwner'>;
	readonly loop: Pick<Loop, 'sleep'>;
	readonly monotonic: () => number;
	/** This daemon's side of a trainer that it owns. */
	readonly local: (trainer: string) => TrainerDesk;
	readonly remote: (owner: ShardOwner) => TrainerDesk;
};

const ATTEMPTS = 3;
const RETRY_MS = 200;
const RETRY_AFTER_MS = 1000;

/** Creates the desk of a daemon. */
export function createTrainerDesk(options: TrainerDeskOptions): TrainerDesk {
	const {shards, monotonic} = options;

	function find(trainer: string): {readonly desk: TrainerDesk; readonly owner: ShardOwner | undefined} | undefined {
		const shard = shardOf('trainer', trainer, shards.count);
		if (shards.holding(shard, monotonic()) !== undefined) {
			return {desk: options.local(trainer), owner: undefined};
		}

		const owner = shards.owner(shard, monotonic());
		return owner === undefined || owner.daemonId === options.daemonId ? undefined : {desk: options.remote(owner), owner};
	}

	async function call<T>(trainer: string, run: (desk: TrainerDesk) => Promise<Result<T, Failure>>, attemptsLeft: number): Promise<Result<T, Failure>> {
		const found = find(trainer);
		const refusal = createNotRun('unavailable', {step: 'find owner of trainer', peer: trainer}, 'no daemon owns the trainer at present', RETRY_AFTER_MS);
		const answer = found === undefined ? err(refusal) : await run(found.desk);
		const isMisdirected = answer.isErr() && (found === undefined || ['notOwner', 'fenced'].includes(answer.error.code));
		if (!isMisdirected) {
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
		postStep: async request => call(request.trainer, async desk => desk.postStep(request), ATTEMPTS),
		pull: async request => call(request.trainer, async desk => desk.pull(request), ATTEMPTS),
	};
}

/** Owners of trainers on one daemon, made as they are needed. */
export type TrainerOwners = {
	readonly get: (trainer: string) => TrainerOwner;
	readonly all: () => ReadonlyMap<string, TrainerOwner>;
	/** Drops an owner and cancels its streams, once another daemon owns the trainer. */
	readonly drop: (trainer: string) => void;
};

/** Creates an empty set of owners. */
export function createTrainerOwners(create: (trainer: string) => TrainerOwner): TrainerOwners {
	const owners = new Map<string, TrainerOwner>();
	return {
		get(trainer) {
			const known = owners.get(trainer) ?? create(trainer);
			owners.set(trainer, known);
			return known;
		},
		all: () => owners,
		drop(trainer) {
			owners.get(trainer)?.dispose();
			owners.delete(trainer);
		},
	};
}
