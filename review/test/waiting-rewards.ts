#!/usr/bin/env node
/** Reward calls that wait in a daemon's queue are sent after their batch job has ended. */
import {
	configure, endBatch, read, startWorkers, submit,
} from './batches.js';
import {bounds, runCase, sleep} from './deployment.js';

const itemCount = 128;
/** Requests a second that each worker of the reward service takes while it is in need. */
const limitPerSecond = 2;
const trainerDeadlineMs = 12_000;
const readPeriodMs = 500;
const observedMs = 20_000;

await runCase(3, async ({deployment, hasTrouble}) => {
	const {daemons, record} = deployment;
	configure(deployment);
	const workers = await startWorkers(deployment, 3);
	daemons.forEach(daemon => {
		daemon.start();
	});
	if (!await deployment.awaitReady()) {
		throw new Error('the daemons are not ready');
	}

	await sleep(bounds.stable_ms);
	if (hasTrouble) {
		workers.plain.forEach(worker => {
			worker.setLimit(limitPerSecond);
		});
		record('workers in need', {limitPerSecond});
	}

	const daemon = daemons[0]!;
	const batchId = 'step-0';
	const submitted = await submit(deployment, daemon, batchId, {count: itemCount, isScored: true});
	if (submitted.kind !== 'answer' || submitted.status !== 202) {
		throw new Error('the batch job was not accepted');
	}

	const submittedAt = deployment.now();
	let listed = 0;
	while (listed < itemCount && deployment.now() - submittedAt < trainerDeadlineMs) {
		const results = await read(deployment, daemon, batchId, listed);
		listed += results?.length ?? 0;
		await sleep(readPeriodMs);
	}

	const status = await endBatch(deployment, daemon, batchId);
	if (status !== 200) {
		throw new Error(`the end of the batch job was answered ${status}`);
	}

	const endedAt = Date.now();
	await sleep(observedMs);
	const runs = workers.ledger.runs.filter(run => run.at > endedAt);
	runs.forEach(({requestId, workerId, at}) => {
		record('run after the end', {requestId, workerId, msAfterEnd: at - endedAt});
	});
	workers.close();
	return runs
		.filter(run => run.at > endedAt + bounds.cancel_ms)
		.map(({requestId, workerId, at}) => `UNASKED: ${requestId} ran at ${workerId} ${at - endedAt} ms after the end of its batch job was acknowledged`);
});
