/**
 * Many streams begin at once, at workers of two software versions, so that the daemons open several connections to the store. Later all open
 * connections to the store go silent, while new ones work. Then a version of the configuration moves a route to another service, and requests
 * show at which daemons it is in force.
 */
import process from 'node:process';
import {
	configure, createStreamWorker, HOST, OTHER_POOL, POOL, sleep, startFleet, STREAM_POOL, type Daemon,
} from './fleet.js';
import {createPlainWorker, sendPlain} from './plain-service.js';
import {createSilentLink} from './silent-link.js';
import {openClientLink, readStream} from './stream-client.js';

const hasTrouble = process.env.TROUBLE !== '0';
const recordFile = process.argv[2] ?? 'record.txt';
/** Streams that begin at the same time at each daemon. */
const BURST = 200;
const SHAPE = {events: 10, intervalMs: 25, eventCharacters: 100};
const CLIENT_BYTES_PER_SECOND = 1_000_000;
/** Time in which the store answers, by the sheets of the sites. */
const STORE_MS = 4;
const SETTLE_MS = 3000;
const STABLE_MS = 4000;
const PROPAGATION_MS = 2500;
const MARGIN_MS = 200;
const WATCH_MS = 20_000;

function buildRoutes(service: string) {
	return [{
		name: 'moved', host: HOST, path_prefix: '/moved/', kind: 'idempotent', timeout_ms: 2000, goal_ms: 400, priority: 2, service, attempts: 2,
	}, {
		name: 'stream', host: HOST, path_prefix: '/stream/', kind: 'stream', can_resume: true, timeout_ms: 10_000, goal_ms: 500, priority: 2, service: STREAM_POOL, attempts: 3,
	}];
}

async function main(): Promise<number> {
	const link = createSilentLink();
	const fleet = await startFleet(buildRoutes(POOL), {link});
	fleet.store.faults.slowMs = STORE_MS;
	const serviceByAttempt = new Map<string, string>();
	const workers = [POOL, POOL, OTHER_POOL, OTHER_POOL].map((service, index) => createPlainWorker({
		id: `i-${index + 1}`, ip: `${fleet.network}.${101 + index}`, zone: ['zone-a', 'zone-b'][index % 2]!, service,
	}, fleet.store, (attemptId, {id}) => {
		serviceByAttempt.set(attemptId, service);
		fleet.record({
			what: 'run', worker: id, service, attemptId,
		});
	}));
	const streamWorkers = ['v1', 'v1', 'v1', 'v2', 'v2', 'v2'].map((softwareVersion, index) => createStreamWorker({
		id: `s-${index + 1}`, service: STREAM_POOL, ip: `${fleet.network}.${121 + index}`, zone: ['zone-a', 'zone-b'][index % 2]!, softwareVersion, slots: 120,
	}, SHAPE, fleet.store, fleet.record));
	try {
		await Promise.all([...workers, ...streamWorkers].map(async worker => worker.start()));
		await fleet.waitUntilReady();
		await sleep(SETTLE_MS);
		const links = await Promise.all(fleet.daemons.map(async daemon => ({...daemon, link: await openClientLink(`${fleet.network}.240`, daemon.front, CLIENT_BYTES_PER_SECOND)})));
		const streams = await Promise.all(links.flatMap((linked, index) => Array.from({length: BURST}, async (_, number) => readStream(`b${index}-${number}`, [linked], 0, fleet.record))));
		fleet.record({what: 'burst', streams: streams.length, complete: streams.filter(({isComplete}) => isComplete).length});
		links.forEach(({link: {close}}) => {
			close();
		});
		await sleep(SETTLE_MS);
		if (hasTrouble) {
			fleet.record({what: 'connections to the store are silent', count: link.silence()});
		}

		await sleep(STABLE_MS + MARGIN_MS);
		configure(fleet.store, 2, buildRoutes(OTHER_POOL));
		fleet.record({what: 'version 2 acknowledged'});
		await sleep(PROPAGATION_MS + MARGIN_MS);
		const from = Date.now();
		const attempts: Array<{readonly daemon: string; readonly attemptId: string; readonly status: number}> = [];
		const sendOne = async ({name, front}: Daemon): Promise<void> => {
			const attemptId = `${name}-${Date.now() - from}`;
			attempts.push({daemon: name, attemptId, status: await sendPlain(front, '/moved/a', attemptId, fleet.record)});
		};

		while (Date.now() - from < WATCH_MS) {
			await Promise.all(fleet.daemons.map(async daemon => sendOne(daemon)));
			await sleep(200);
		}

		const wrong = attempts.filter(({attemptId}) => serviceByAttempt.get(attemptId) === POOL);
		const wrongByDaemon = fleet.daemons.map(({name}) => `${name} ${wrong.filter(({daemon}) => daemon === name).length}`).join(', ');
		const answered = attempts.filter(({status}) => status === 200).length;
		const summary = `${attempts.length} requests later than ${PROPAGATION_MS} ms after the acknowledgement, ${answered} answered, ${wrong.length} run by the old service (${wrongByDaemon})`;
		fleet.record({what: 'summary', summary});
		console.log(summary);
		return wrong.length > 0 ? 1 : (answered > attempts.length / 2 ? 0 : 2);
	} finally {
		[...workers, ...streamWorkers].forEach(worker => {
			worker.close();
		});
		fleet.writeRecord(recordFile);
		await fleet.close();
		link.close();
	}
}

try {
	process.exitCode = await main();
} catch (error) {
	console.error(error);
	process.exitCode = 2;
}
