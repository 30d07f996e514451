/** Checks of settings that concern more than one value and that the schema therefore cannot express. */
import {formatPath, type Problem} from './problem.js';
import type {Settings} from './settings.js';

type Check = (settings: Settings) => readonly Problem[];

type Named = {readonly name: string};

function createProblem(path: readonly PropertyKey[], message: string): Problem {
	return {path: formatPath(path), message};
}

function listNames(values: readonly Named[]): string {
	return values.length === 0 ? 'none are defined' : values.map(value => value.name).join(', ');
}

function findRepeated(values: readonly Named[], list: string): readonly Problem[] {
	return values.flatMap((value, index) => {
		const first = values.findIndex(other => other.name === value.name);
		return first === index ? [] : [createProblem([list, index, 'name'], `found "${value.name}" again; allowed: a name used once, first used at ${formatPath([list, first])}`)];
	});
}

/** Requires `lower` to be less than `upper`. */
function requireLess(section: string, lower: readonly [string, number], upper: readonly [string, number]): readonly Problem[] {
	return lower[1] < upper[1] ? [] : [createProblem([section, lower[0]], `found ${lower[1]}; allowed: less than ${upper[0]}, which is ${upper[1]}`)];
}

const checkNames: Check = settings => [
	...findRepeated(settings.availabilityZones, 'availabilityZones'),
	...findRepeated(settings.pools, 'pools'),
	...findRepeated(settings.scoring, 'scoring'),
	...findRepeated(settings.trainers, 'trainers'),
];

const checkDaemon: Check = ({daemon, availabilityZones}) => [
	...(availabilityZones.some(zone => zone.name === daemon.availabilityZone)
		? []
		: [createProblem(['daemon', 'availabilityZone'], `found "${daemon.availabilityZone}"; allowed: ${listNames(availabilityZones)}`)]),
	...(daemon.callerPort === daemon.peerPort
		? [createProblem(['daemon', 'peerPort'], `found ${daemon.peerPort}; allowed: a port other than callerPort`)]
		: []),
];

const checkTrainers: Check = ({trainers, pools, scoring}) => trainers.flatMap((trainer, index) => {
	const engines = pools.filter(pool => pool.kind === 'engine');
	const pool = engines.find(candidate => candidate.name === trainer.pool);
	const scoringName = trainer.scoring;
	return [
		...(pool === undefined ? [createProblem(['trainers', index, 'pool'], `found "${trainer.pool}"; allowed: an engine pool: ${listNames(engines)}`)] : []),
		...(pool === undefined || pool.models.includes(trainer.model)
			? []
			: [createProblem(['trainers', index, 'model'], `found "${trainer.model}"; allowed: a model of pool ${pool.name}: ${pool.models.join(', ')}`)]),
		...(scoringName === undefined || scoring.some(service => service.name === scoringName)
			? []
			: [createProblem(['trainers', index, 'scoring'], `found "${scoringName}"; allowed: a scoring service: ${listNames(scoring)}`)]),
	];
});

const checkModels: Check = ({pools}) => pools.flatMap((pool, poolIndex) => (pool.kind === 'engine' ? pool.models : []).flatMap((model, index, models) =>
	models.indexOf(model) === index ? [] : [createProblem(['pools', poolIndex, 'models', index], `found "${model}" again; allowed: each model once`)]));

const checkDurations: Check = ({leases, membership, limits, rollouts, requests}) => [
	...(leases.renewMs + leases.marginMs < leases.durationMs
		? []
		: [createProblem(['leases', 'durationMs'], `found ${leases.durationMs}; allowed: more than renewMs + marginMs, which is ${leases.renewMs + leases.marginMs}`)]),
	...requireLess('membership', ['suspectAfterMs', membership.suspectAfterMs], ['deadAfterMs', membership.deadAfterMs]),
	...requireLess('membership', ['periodMs', membership.periodMs], ['suspectAfterMs', membership.suspectAfterMs]),
	...requireLess('limits', ['renewMs', limits.renewMs], ['shareMs', limits.shareMs]),
	...requireLess('rollouts', ['stallMs', rollouts.stallMs], ['stepDeadlineMs', rollouts.stepDeadlineMs]),
	...(requests.headerTimeoutMs <= requests.deadlineMs
		? []
		: [createProblem(['requests', 'headerTimeoutMs'], `found ${requests.headerTimeoutMs}; allowed: at most deadlineMs, which is ${requests.deadlineMs}`)]),
];

const checkWeightStore: Check = ({trainers, weightStore}) => (trainers.length > 0 && weightStore === undefined
	? [createProblem(['weightStore'], 'found nothing; allowed: a weight store, because trainers are defined')]
	: []);

const checks: readonly Check[] = [checkNames, checkDaemon, checkModels, checkTrainers, checkDurations, checkWeightStore];

/** Finds problems in the relations between values that are valid by themselves. */
export function checkAcross(settings: Settings): readonly Problem[] {
	return checks.flatMap(check => check(settings));
}
