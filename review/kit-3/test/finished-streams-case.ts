/**
 * Slow readers lose their connections after their workers have finished the streams, and take the streams up at other daemons. Two software
 * versions serve side by side.
 */
import process from 'node:process';
import {
	createStreamWorker, HOST, sleep, startFleet, STREAM_POOL,
} from './fleet.js';
import {
	listMixed, openClientLink, readStream, type LinkedDaemon, type ReceivedStream,
} from './stream-client.js';

const hasTrouble = process.env.TROUBLE !== '0';
const recordFile = process.argv[2] ?? 'record.txt';
/** A stream takes its worker 0.5 s, and its client 2 s. */
const SHAPE = {events: 24, intervalMs: 20, eventCharacters: 1000};
const CLIENT_BYTES_PER_SECOND = 12_000;
const STREAMS_PER_SECOND = 20;
const TRAFFIC_MS = 20_000;
/** The rule allows two streams with events of two versions. */
const ALLOWED = 2;

async function main(): Promise<number> {
	const fleet = await startFleet([{
		name: 'stream', host: HOST, path_prefix: '/stream/', kind: 'stream', can_resume: true, timeout_ms: 10_000, goal_ms: 500, priority: 2, service: STREAM_POOL, attempts: 3,
	}]);
	const workers = ['v1', 'v1', 'v1', 'v2', 'v2'].map((softwareVersion, index) => createStreamWorker({
		id: `i-${index + 1}`, service: STREAM_POOL, ip: `${fleet.network}.${101 + index}`, zone: ['zone-a', 'zone-b', 'zone-c'][index % 3]!, softwareVersion, slots: 16,
	}, SHAPE, fleet.store, fleet.record));
	const links: LinkedDaemon[] = [];
	try {
		await Promise.all(workers.map(async worker => worker.start()));
		await fleet.waitUntilReady();
		await sleep(3000);
		await Promise.all(fleet.daemons.map(async (daemon, index) => {
			links[index] = {...daemon, link: await openClientLink(`${fleet.network}.240`, daemon.front, CLIENT_BYTES_PER_SECOND)};
		}));
		const streams: Array<Promise<ReceivedStream>> = [];
		const startedAt = Date.now();
		let resets = 0;
		while (Date.now() - startedAt < TRAFFIC_MS) {
			const index = streams.length;
			streams.push(readStream(`s${index}`, links, index % links.length, fleet.record));
			// Half of the connections of one machine are reset, three times, at another machine each time.
			if (hasTrouble && Date.now() - startedAt > 5000 * (resets + 1) && resets < links.length) {
				const count = links[resets]!.link.reset(0.5);
				fleet.record({what: 'connections reset', daemon: links[resets]!.name, count});
				resets += 1;
			}

			await sleep(1000 / STREAMS_PER_SECOND);
		}

		const received = await Promise.all(streams);
		const mixed = listMixed(received);
		mixed.forEach(({name, events}) => {
			fleet.record({what: 'mixed', name, softwareVersions: events.map(data => data.split(' ', 1)[0])});
		});
		const takenUp = received.filter(({tries}) => tries > 1).length;
		const summary = `${received.length} streams, ${received.filter(({isComplete}) => isComplete).length} complete, ${takenUp} taken up, ${mixed.length} with events of two software versions (allowed: ${ALLOWED})`;
		fleet.record({what: 'summary', summary});
		console.log(summary);
		const isServed = received.filter(({isComplete}) => isComplete).length > received.length / 2;
		return isServed ? (mixed.length > ALLOWED ? 1 : 0) : 2;
	} finally {
		links.forEach(({link}) => {
			link.close();
		});
		workers.forEach(worker => {
			worker.close();
		});
		fleet.writeRecord(recordFile);
		await fleet.close();
	}
}

try {
	process.exitCode = await main();
} catch (error) {
	console.error(error);
	process.exitCode = 2;
}
