/**
 * The demo: daemons and a platform in one process, a training step with an engine crash and a weight swap in its middle,
 * and the figures of what the trainer saw.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../../base/common/failure.js';
import {createStatusFailure} from '../../../adapters/node/http-answers.js';
import {createHttpClient} from '../../../adapters/node/http-client.js';
import {createTrainerStandin, type TrainerRecord} from '../../../standins/node/trainer-standin.js';
import {listFeatures} from '../contributions.js';
import {startDaemon, type Daemon} from '../daemon.js';
import {findFreePorts} from '../../../base/node/free-ports.js';
import {createOperatorClient} from '../operator-client.js';
import {startDemoPlatform, type DemoPlatform} from './platform.js';
import {judgeStep, type StepFigures} from './report.js';
import {
	createDemoSettings, DAEMONS, demoLists, listEntryVms, loopback, model, operatorKey, pairPorts, STALENESS_BOUND, trainer, trainerKey, type DaemonPorts,
} from './world.js';

/** What the demo measured. */
export type DemoOutcome = StepFigures & {
	readonly daemons: number;
	readonly engineCrashes: number;
	readonly weightSwaps: number;
	/** Whole milliseconds from the first daemon's start to the end of the step. */
	readonly durationMs: number;
	/** Calls that the trainer had to send again, with the answers it got. */
	readonly retried: readonly string[];
};

const FIRST_VERSION = 1;
const GROUPS = 12;
const SAMPLES_PER_GROUP = 8;
const MAXIMUM_TOKENS = 160;
/** The last engine, which the first wave of new weights does not touch. */
const CRASHED_ENGINE = 2;
/** Streams that have ended when the engine crashes. */
const CRASH_AFTER_STREAMS = 20;
/** Streams that have ended when new weights are published. */
const SWAP_AFTER_STREAMS = 8;
/** Samples that the trainer has when it goes on to the new weights. */
const PUBLISH_AFTER_SAMPLES = 24;
const STEP_LIMIT_MS = 12_000;
const READY_LIMIT_MS = 5000;
const POLL_MS = 25;

function urlOf(ports: DaemonPorts): string {
	return `http://${loopback}:${ports.callerPort}`;
}

/** Asks again until the answer comes or the time is over, and returns the last answer. */
async function retryUntil<T>(action: () => Promise<Result<T, Failure>>, until: number): Promise<Result<T, Failure>> {
	const result = await action();
	if (result.isOk() || Date.now() > until) {
		return result;
	}

	await sleep(POLL_MS);
	return retryUntil(action, until);
}

async function putListsInForce(daemons: readonly DaemonPorts[]): Promise<Result<void, Failure>> {
	const until = Date.now() + READY_LIMIT_MS;
	const clients = daemons.map(ports => createOperatorClient({daemon: urlOf(ports), key: operatorKey}));
	const written = await retryUntil(async () => clients[0]?.writeLists({operator: 'demo', ifVersion: 0, lists: demoLists})
		?? err(createNotRun('invalid', {step: 'write lists', peer: 'demo'}, 'no daemon')), until);
	if (written.isErr()) {
		return err(written.error);
	}

	const followed = await Promise.all(clients.map(async client => retryUntil(async () => {
		const current = await client.readLists();
		return current.andThen(lists => (lists.version >= written.value.version
			? ok()
			: err(createNotRun('stale', {step: 'follow lists', peer: 'daemon'}, `version ${lists.version} is in force, not ${written.value.version}`))));
	}, until)));
	return followed.find(result => result.isErr()) ?? ok();
}

/** Tells the daemons of weights that the trainer has stored; engines on a version that was not published are not used. */
async function publishWeights(daemon: DaemonPorts, version: number): Promise<Result<void, Failure>> {
	const http = createHttpClient(urlOf(daemon));
	return retryUntil(async () => {
		const answer = await http.call({
			step: 'publish weights',
			method: 'POST',
			path: `/v1/trainers/${trainer}/weights`,
			headers: {authorization: `Bearer ${trainerKey}`, 'content-type': 'application/json'},
			body: JSON.stringify({version}),
			timeoutMs: READY_LIMIT_MS,
		});
		return answer.andThen(whole => (whole.status < 300 ? ok() : err(createStatusFailure(whole, 'publish weights', http.peer))));
	}, Date.now() + READY_LIMIT_MS);
}

/** Waits until so many streams have ended; false when the time is over before. */
async function waitForStreams(platform: DemoPlatform, count: number, until: number): Promise<boolean> {
	if (platform.streams().filter(stream => stream.outcome === 'ended').length >= count) {
		return true;
	}

	if (Date.now() > until) {
		return false;
	}

	await sleep(POLL_MS);
	return waitForStreams(platform, count, until);
}

async function crashInMidStep(platform: DemoPlatform, until: number): Promise<number> {
	const isDue = await waitForStreams(platform, CRASH_AFTER_STREAMS, until);
	if (isDue) {
		platform.crashEngine(CRASHED_ENGINE);
	}

	return isDue ? 1 : 0;
}

async function swapInMidStep(daemon: DaemonPorts | undefined, platform: DemoPlatform, until: number): Promise<number> {
	const isDue = await waitForStreams(platform, SWAP_AFTER_STREAMS, until);
	if (!isDue || daemon === undefined) {
		return 0;
	}

	const stored = await platform.storeWeights(FIRST_VERSION + 1);
	const published = stored.isOk() ? await publishWeights(daemon, FIRST_VERSION + 1) : stored;
	return published.isOk() ? 1 : 0;
}

async function runStep(daemons: readonly DaemonPorts[], platform: DemoPlatform): Promise<TrainerRecord> {
	const standin = createTrainerStandin({
		daemonUrls: daemons.map(ports => urlOf(ports)), apiKey: trainerKey, trainer, model, weightStoreUrl: platform.weightStoreUrl,
	});
	return standin.runStep({
		step: 1,
		weightVersion: FIRST_VERSION,
		prompts: Array.from({length: GROUPS}, (_, index) => `Explain note ${index + 1}.`),
		samplesPerGroup: SAMPLES_PER_GROUP,
		maximumTokens: MAXIMUM_TOKENS,
		enough: 1,
		publish: {afterSamples: PUBLISH_AFTER_SAMPLES, version: FIRST_VERSION + 1},
		limitMs: STEP_LIMIT_MS,
	});
}

async function runWith(daemons: readonly DaemonPorts[], platform: DemoPlatform, startedAt: number): Promise<Result<DemoOutcome, Failure>> {
	const ready = await putListsInForce(daemons);
	const published = ready.isOk() && daemons[0] ? await publishWeights(daemons[0], FIRST_VERSION) : ready;
	if (published.isErr()) {
		return err(published.error);
	}

	const until = Date.now() + STEP_LIMIT_MS;
	const [record, engineCrashes, weightSwaps] = await Promise.all([
		runStep(daemons, platform), crashInMidStep(platform, until), swapInMidStep(daemons[1], platform, until),
	]);
	return ok({
		...judgeStep(record, platform.streams(), STALENESS_BOUND),
		daemons: daemons.length,
		engineCrashes,
		weightSwaps,
		durationMs: Date.now() - startedAt,
		retried: record.errors,
	});
}

async function startAll(daemons: readonly DaemonPorts[], platform: DemoPlatform): Promise<ReadonlyArray<Result<Daemon, Failure>>> {
	return Promise.all(daemons.map(async (_, index) => startDaemon({
		settings: createDemoSettings(daemons, index, platform), contributions: listFeatures(),
	})));
}

/** Runs the demo. Everything that it started has ended when it returns. */
export async function runDemo(): Promise<Result<DemoOutcome, Failure>> {
	const startedAt = Date.now();
	const daemons = pairPorts(await findFreePorts(loopback, 2 * DAEMONS));
	const platform = await startDemoPlatform(listEntryVms(daemons));
	const started = await startAll(daemons, platform);
	const failed = started.find(result => result.isErr());
	const outcome = failed?.isErr() ? err(failed.error) : await runWith(daemons, platform, startedAt);
	await Promise.all(started.map(async result => (result.isOk() ? result.value.stop() : false)));
	platform.dispose();
	return outcome;
}
