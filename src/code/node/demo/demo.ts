/**
 * The demo: runs daemons and a stand-in platform in one process, runs a training step with an engine crash and a weight swap
 * during the step, and evaluates what the trainer received.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../../base/common/failure.js';
import {createStatusFailure} from '../../../adapters/node/http-responses.js';
import {createHttpClient} from '../../../adapters/node/http-client.js';
import {createTrainerStandin, type TrainerRecord} from '../../../standins/node/trainer-standin.js';
import {listFeatures} from '../contributions.js';
import {startDaemon, type Daemon} from '../daemon.js';
import {findFreePorts} from '../../../base/node/free-ports.js';
import {createOperatorClient} from '../operator-client.js';
import {startDemoPlatform, type DemoPlatform} from './platform.js';
import {evaluateStep, type StepFigures} from './report.js';
import {
	createDemoSettings, DAEMON_COUNT, demoLists, listEntryVms, loopback, model, operatorKey, assignPorts, STALENESS_BOUND, trainer, trainerKey, type DaemonPorts,
} from './deployment.js';

/** Figures of a demo run. */
export type DemoOutcome = StepFigures & {
	readonly daemons: number;
	readonly engineCrashes: number;
	readonly weightSwaps: number;
	/** Milliseconds (integer) from the start of the demo to the end of the step. */
	readonly durationMs: number;
	/** Failed calls of the trainer, which it retried, with the error responses. */
	readonly retried: readonly string[];
};

const FIRST_VERSION = 1;
const GROUP_COUNT = 12;
const SAMPLES_PER_GROUP = 8;
const MAXIMUM_TOKENS = 160;
/** The last engine; the first wave of a weight swap does not include it. */
const CRASHED_ENGINE_INDEX = 2;
/** Number of ended streams after which the engine crashes. */
const CRASH_AFTER_STREAMS = 20;
/** Number of ended streams after which new weights are published. */
const SWAP_AFTER_STREAMS = 8;
/** Number of received samples after which the trainer switches to the new weights. */
const PUBLISH_AFTER_SAMPLES = 24;
const STEP_TIMEOUT_MS = 12_000;
const READY_TIMEOUT_MS = 5000;
const POLL_INTERVAL_MS = 25;

function formatUrl(ports: DaemonPorts): string {
	return `http://${loopback}:${ports.callerPort}`;
}

/** Repeats the action until it succeeds or the deadline has passed, and returns the last result. */
async function retryUntil<T>(action: () => Promise<Result<T, Failure>>, deadline: number): Promise<Result<T, Failure>> {
	const result = await action();
	if (result.isOk() || Date.now() > deadline) {
		return result;
	}

	await sleep(POLL_INTERVAL_MS);
	return retryUntil(action, deadline);
}

async function applyLists(daemons: readonly DaemonPorts[]): Promise<Result<void, Failure>> {
	const deadline = Date.now() + READY_TIMEOUT_MS;
	const clients = daemons.map(ports => createOperatorClient({daemon: formatUrl(ports), key: operatorKey}));
	const written = await retryUntil(async () => clients[0]?.writeLists({operator: 'demo', ifVersion: 0, lists: demoLists})
		?? err(createNotRun('invalid', {step: 'write lists', peer: 'demo'}, 'no daemon')), deadline);
	if (written.isErr()) {
		return err(written.error);
	}

	const results = await Promise.all(clients.map(async client => retryUntil(async () => {
		const current = await client.readLists();
		return current.andThen(lists => (lists.version >= written.value.version
			? ok()
			: err(createNotRun('stale', {step: 'follow lists', peer: 'daemon'}, `version ${lists.version} is in force, not ${written.value.version}`))));
	}, deadline)));
	return results.find(result => result.isErr()) ?? ok();
}

/** Publishes a weight version that the trainer has stored; daemons do not use engines on an unpublished version. */
async function publishWeights(daemon: DaemonPorts, version: number): Promise<Result<void, Failure>> {
	const http = createHttpClient(formatUrl(daemon));
	return retryUntil(async () => {
		const outcome = await http.call({
			step: 'publish weights',
			method: 'POST',
			path: `/v1/trainers/${trainer}/weights`,
			headers: {authorization: `Bearer ${trainerKey}`, 'content-type': 'application/json'},
			body: JSON.stringify({version}),
			timeoutMs: READY_TIMEOUT_MS,
		});
		return outcome.andThen(response => (response.status < 300 ? ok() : err(createStatusFailure(response, 'publish weights', http.peer))));
	}, Date.now() + READY_TIMEOUT_MS);
}

/** Waits until `count` streams have ended. Returns false if the deadline passes first. */
async function waitForStreams(platform: DemoPlatform, count: number, deadline: number): Promise<boolean> {
	if (platform.streams().filter(stream => stream.outcome === 'ended').length >= count) {
		return true;
	}

	if (Date.now() > deadline) {
		return false;
	}

	await sleep(POLL_INTERVAL_MS);
	return waitForStreams(platform, count, deadline);
}

async function crashEngineDuringStep(platform: DemoPlatform, deadline: number): Promise<number> {
	const isReached = await waitForStreams(platform, CRASH_AFTER_STREAMS, deadline);
	if (isReached) {
		platform.crashEngine(CRASHED_ENGINE_INDEX);
	}

	return isReached ? 1 : 0;
}

async function swapWeightsDuringStep(daemon: DaemonPorts | undefined, platform: DemoPlatform, deadline: number): Promise<number> {
	const isReached = await waitForStreams(platform, SWAP_AFTER_STREAMS, deadline);
	if (!isReached || daemon === undefined) {
		return 0;
	}

	const stored = await platform.storeWeights(FIRST_VERSION + 1);
	const published = stored.isOk() ? await publishWeights(daemon, FIRST_VERSION + 1) : stored;
	return published.isOk() ? 1 : 0;
}

async function runStep(daemons: readonly DaemonPorts[], platform: DemoPlatform): Promise<TrainerRecord> {
	const trainerStandin = createTrainerStandin({
		daemonUrls: daemons.map(ports => formatUrl(ports)), apiKey: trainerKey, trainer, model, weightStoreUrl: platform.weightStoreUrl,
	});
	return trainerStandin.runStep({
		step: 1,
		weightVersion: FIRST_VERSION,
		prompts: Array.from({length: GROUP_COUNT}, (_, index) => `Explain note ${index + 1}.`),
		samplesPerGroup: SAMPLES_PER_GROUP,
		maximumTokens: MAXIMUM_TOKENS,
		enough: 1,
		publish: {afterSamples: PUBLISH_AFTER_SAMPLES, version: FIRST_VERSION + 1},
		limitMs: STEP_TIMEOUT_MS,
	});
}

async function runStepWithFaults(daemons: readonly DaemonPorts[], platform: DemoPlatform, startedAt: number): Promise<Result<DemoOutcome, Failure>> {
	const applied = await applyLists(daemons);
	const published = applied.isOk() && daemons[0] ? await publishWeights(daemons[0], FIRST_VERSION) : applied;
	if (published.isErr()) {
		return err(published.error);
	}

	const deadline = Date.now() + STEP_TIMEOUT_MS;
	const [record, engineCrashes, weightSwaps] = await Promise.all([
		runStep(daemons, platform), crashEngineDuringStep(platform, deadline), swapWeightsDuringStep(daemons[1], platform, deadline),
	]);
	return ok({
		...evaluateStep(record, platform.streams(), STALENESS_BOUND),
		daemons: daemons.length,
		engineCrashes,
		weightSwaps,
		durationMs: Date.now() - startedAt,
		retried: record.errors,
	});
}

async function startDaemons(daemons: readonly DaemonPorts[], platform: DemoPlatform): Promise<ReadonlyArray<Result<Daemon, Failure>>> {
	return Promise.all(daemons.map(async (_, index) => startDaemon({
		settings: createDemoSettings(daemons, index, platform), contributions: listFeatures(),
	})));
}

/** Runs the demo. Stops everything that it started before it returns. */
export async function runDemo(): Promise<Result<DemoOutcome, Failure>> {
	const startedAt = Date.now();
	const daemons = assignPorts(await findFreePorts(loopback, 2 * DAEMON_COUNT));
	const platform = await startDemoPlatform(listEntryVms(daemons));
	const started = await startDaemons(daemons, platform);
	const failed = started.find(result => result.isErr());
	const outcome = failed?.isErr() ? err(failed.error) : await runStepWithFaults(daemons, platform, startedAt);
	await Promise.all(started.map(async result => (result.isOk() ? result.value.stop() : false)));
	platform.dispose();
	return outcome;
}
