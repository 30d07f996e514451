/** The HTTP routes for trainers: steps, pulls and weights. */
import type {ServerResponse} from 'node:http';
import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {z} from 'zod';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import type {WeightStore} from '../../adapters/common/weight-store.js';
import type {Front, FrontRequest} from '../../requests/common/front.js';
import {sendJson, sendProblem} from '../../requests/node/respond.js';
import type {TrainerProfile} from '../../settings/common/settings.js';
import type {EngineVersions} from '../../weights/common/engine-versions.js';
import {parsePullBody, parseStepBody, parseWeightsBody} from '../common/trainer-messages.js';
import type {TrainerHandler} from '../common/trainer-handler.js';

/** Dependencies of the routes. */
export type TrainerRoutesOptions = {
	readonly trainers: readonly TrainerProfile[];
	readonly trainerHandler: TrainerHandler;
	readonly versions: Pick<EngineVersions, 'publish'>;
	/** Undefined when the settings name no weight store; a published version is then accepted without a check. */
	readonly weightStore: WeightStore | undefined;
};

type Answer = {
	readonly status: number;
	readonly body: unknown;
};

type RouteHandler = (trainer: TrainerProfile, body: unknown) => Promise<Result<Answer, Failure>>;

const RETRY_AFTER_MS = 1000;

function authorise(request: FrontRequest, trainers: readonly TrainerProfile[]): Result<TrainerProfile, Failure> {
	const name = request.parameters.trainer ?? '';
	const profile = trainers.find(candidate => candidate.name === name);
	const isOwn = request.principal.kind === 'customer' && request.principal.plan.trainers.includes(name);
	const origin = {step: 'authorise trainer', peer: name};
	if (!isOwn) {
		return err(createNotRun('unauthorized', origin, 'the plan of this key does not list the trainer'));
	}

	return profile === undefined ? err(createNotRun('notFound', origin, 'the trainer is not in the settings')) : ok(profile);
}

function parse<T>(read: () => T): Result<T, Failure> {
	try {
		return ok(read());
	} catch (error) {
		const message = error instanceof z.ZodError ? z.prettifyError(error) : String(error);
		return err(createNotRun('invalid', {step: 'read body', peer: 'trainer'}, message));
	}
}

/** Registers the routes. A request needs the key of a plan that lists the trainer. */
export function registerTrainerRoutes(front: Front, options: TrainerRoutesOptions): void {
	async function postStep(trainer: TrainerProfile, body: unknown): Promise<Result<Answer, Failure>> {
		return parse(() => parseStepBody(body, trainer)).asyncAndThen(step =>
			new ResultAsync(options.trainerHandler.postStep(step)).map(samples => ({status: 202, body: {step: step.step, samples}})));
	}

	async function pull(trainer: TrainerProfile, body: unknown): Promise<Result<Answer, Failure>> {
		return parse(() => parsePullBody(body, trainer)).asyncAndThen(request =>
			new ResultAsync(options.trainerHandler.pull(request)).map(batch => ({status: 200, body: batch})));
	}

	/** Checks that the weight store has a version before engines are ordered to load it. */
	async function checkStored(trainer: TrainerProfile, version: number): Promise<Result<void, Failure>> {
		const latest = await options.weightStore?.latest(trainer.model);
		if (latest === undefined) {
			return ok();
		}

		return latest.andThen(found => (found?.version ?? 0) >= version
			? ok()
			: err(createNotRun('notFound', {step: 'read weight store', peer: trainer.model}, `the weight store has version ${found?.version ?? 0}, not ${version}`, RETRY_AFTER_MS)));
	}

	async function publishStored(trainer: TrainerProfile, version: number): Promise<Result<number, Failure>> {
		const stored = await checkStored(trainer, version);
		return stored.isErr() ? err(stored.error) : options.versions.publish(trainer.pool, trainer.model, version);
	}

	async function publish(trainer: TrainerProfile, body: unknown): Promise<Result<Answer, Failure>> {
		return parse(() => parseWeightsBody(body)).asyncAndThen(version =>
			new ResultAsync(publishStored(trainer, version)).map(inForce => ({status: 202, body: {version: inForce}})));
	}

	async function answer(request: FrontRequest, handler: RouteHandler): Promise<Result<Answer, Failure>> {
		return authorise(request, options.trainers).asyncAndThen(trainer =>
			parse<unknown>(() => JSON.parse(new TextDecoder().decode(request.body))).asyncAndThen(body => new ResultAsync(handler(trainer, body))));
	}

	async function handle(request: FrontRequest, response: ServerResponse, handler: RouteHandler): Promise<void> {
		const result = await answer(request, handler);
		result.match(({status, body}) => {
			sendJson(response, status, body);
		}, failure => {
			sendProblem(response, failure, request.requestId);
		});
	}

	const routes: ReadonlyArray<readonly [string, RouteHandler]> = [['steps', postStep], ['pulls', pull], ['weights', publish]];
	routes.forEach(([name, handler]) => {
		front.register({
			method: 'POST',
			path: `/v1/trainers/:trainer/${name}`,
			access: 'customer',
			async handle(request, response) {
				await handle(request, response, handler);
			},
		});
	});
}
