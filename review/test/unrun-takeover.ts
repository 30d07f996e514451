#!/usr/bin/env node
/** A daemon takes a batch job over with a write that is not answered and done later, and never runs it. */
import {
	configure, endBatch, itemsOf, read, startWorkers, submit,
} from './batches.js';
import {
	bounds, runCase, sleep, type Daemon, type Deployment,
} from './deployment.js';

const daemonCount = 3;
const engineCount = 6;
const slotsPerEngine = 8;
const batchCount = 8;
const itemCount = 12;
/** Factor by which events take longer than 25 ms, so that all batch jobs run when the daemon is killed. */
const slowness = 4;
const beforeTroubleMs = 1200;
/** Share of the writes that get no answer and are done 1 to 6 s later, and for how long. */
const lateShare = 0.35;
const lateMs = 4500;
const lateMaximumMs = 6000;
const beforeKillMs = 300;
const downMs = 3500;
/** Time that a trainer waits for its step: over twice the 12 s of the sheets. */
const trainerDeadlineMs = 28_000;
const readPeriodMs = 500;
/** Time at no worker, in steady state, that the rule allows. */
const idleMs = 5000;
const lastRoundAtMs = 80_000;

async function followBatch(deployment: Deployment, daemon: Daemon, batchId: string, until: number): Promise<ReadonlySet<string>> {
	const listed = new Set<string>();
	let after = 0;
	while (listed.size < itemCount && deployment.now() < until) {
		const results = await read(deployment, daemon, batchId, after);
		after += results?.length ?? 0;
		results?.forEach(({id}) => {
			listed.add(id);
		});
		await sleep(readPeriodMs);
	}

	return listed;
}

await runCase(daemonCount, async ({deployment, hasTrouble}) => {
	const {daemons, record, answers} = deployment;
	configure(deployment);
	const workers = await startWorkers(deployment, engineCount);
	workers.engines.forEach(engine => {
		engine.faults.slowness = slowness;
	});
	daemons.forEach(daemon => {
		daemon.start();
	});
	if (!await deployment.awaitReady()) {
		throw new Error('the daemons are not ready');
	}

	await sleep(bounds.stable_ms);

	async function disrupt(owner: Daemon): Promise<void> {
		record('writes get no answer and are done later', {share: lateShare, forMs: lateMs});
		answers.lateShare = lateShare;
		await sleep(beforeKillMs);
		owner.signal('SIGKILL');
		await sleep(downMs);
		owner.start();
		await sleep(lateMs - downMs - beforeKillMs);
		answers.lateShare = 0;
		record('all writes are answered again');
	}

	async function runRound(round: number): Promise<readonly string[]> {
		const owner = daemons[round % daemonCount]!;
		const reader = daemons[(round + 1) % daemonCount]!;
		const batchIds = Array.from({length: batchCount}, (_, index) => `step-${round}-${index}`);
		const accepted = await Promise.all(batchIds.map(async batchId => submit(deployment, owner, batchId, {count: itemCount, isScored: false})));
		if (accepted.some(end => end.kind !== 'answer' || end.status !== 202)) {
			throw new Error('a batch job was not accepted');
		}

		const until = deployment.now() + trainerDeadlineMs;
		await sleep(beforeTroubleMs);
		const followed = Promise.all(batchIds.map(async batchId => followBatch(deployment, reader, batchId, until)));
		if (hasTrouble) {
			await disrupt(owner);
		}

		const steadySince = Date.now() + (hasTrouble ? lateMaximumMs + bounds.stable_ms : 0);
		const listed = await followed;
		const checkedAt = Date.now();
		const {runs, completedAt} = workers.ledger;
		const violations = batchIds.flatMap((batchId, index) => {
			const ids = itemsOf(batchId, itemCount);
			const begun = ids.filter(id => runs.some(run => run.requestId === id));
			const left = ids.filter(id => !listed[index]!.has(id) && !completedAt.has(id));
			const busySlots = runs.filter(run => (run.endedAt ?? checkedAt) > checkedAt - idleMs).length;
			const idle = left.filter(id => runs.every(run => run.requestId !== id || (run.endedAt ?? checkedAt) < checkedAt - idleMs) && checkedAt - steadySince >= idleMs);
			record('step', {
				batchId, items: ids.length, begun: begun.length, listed: listed[index]!.size, atNoWorker: idle.length, runsInLastSeconds: busySlots,
			});
			return idle.length > 0 && begun.length > 0 && busySlots < engineCount * slotsPerEngine / 2
				? [`LOST: ${idle.length} of ${ids.length} items of ${batchId}, of which ${begun.length} had begun, were at no worker for the last ${idleMs} ms, in steady state`]
				: [];
		});
		await Promise.all(batchIds.map(async batchId => endBatch(deployment, reader, batchId)));
		return violations;
	}

	const found: string[] = [];
	for (let round = 0; found.length === 0 && deployment.now() < lastRoundAtMs; round += 1) {
		found.push(...await runRound(round));
	}

	workers.close();
	return found;
});
