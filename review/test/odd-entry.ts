#!/usr/bin/env node
/** An entry of another writer, under a name with bytes that can't be read, ends the processes of all daemons. */
import {runCase, sleep} from './deployment.js';
import {countUnanswered, daemonCount, describeWorker} from './kept-connections.js';

/** What is left of bytes that can't be read. */
const name = 'plain-\uFFFD';
const beforeMs = 3000;

await runCase(daemonCount, async context => {
	const {deployment} = context;
	return countUnanswered(context, {
		faultyWorker: undefined,
		isSpoiled: () => false,
		async run() {
			await sleep(beforeMs);
			const {seq, cold_left_ms: coldLeftMs, ...fields} = describeWorker(deployment, 0, {seq: 1, born: Date.now()});
			// Without `seq`, and with another field of another type.
			const entry = {...fields, cold_left_ms: String(coldLeftMs)};
			deployment.store.put('servers', name, entry);
			deployment.record('odd entry', {name, entry});
		},
	});
});
