/**
 * Simulation of several daemons that use the same idempotency keys, in virtual time. Stores, transports and services have
 * faults. It records what the service ran and what callers received.
 */
import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {
	createDelayedStore, createGate, type Gate, type StoreFaults,
} from '../../../../test/fakes/faulty-store.js';
import {createVirtualTime, type VirtualTime} from '../../../../test/fakes/virtual-loop.js';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../../base/common/failure.js';
import type {Random} from '../../../base/common/random.js';
import type {Shards} from '../../../leases/common/shards.js';
import {createMemoryStore} from '../../../adapters/common/memory-store.js';
import type {ServiceResponse} from '../../../adapters/common/service.js';
import type {Store} from '../../../adapters/common/store.js';
import type {ClaimTransport} from '../../common/claim-transport.js';
import {createClaimedRuns, type Reply} from '../../node/claimed-runs.js';
import {createClaimOwner, type ClaimOwner} from '../../node/claim-owner.js';
import {createClaimsClient} from '../../node/claims-client.js';

/** A request that the service ran. */
export type Execution = {readonly key: string; readonly sendId: string; readonly answer: string};
/** A result that a caller received. */
export type Reported = {readonly key: string; readonly sendId: string; readonly result: Result<Reply, Failure>};
/** Everything observed at the service and at the callers. */
export type EdgeRecord = {readonly executions: Execution[]; readonly reports: Reported[]};

/** Mechanisms to replace by defective ones, to show that the checks detect the defect. */
export type BrokenMechanisms = {
	readonly store?: (store: Store) => Store;
	readonly transport?: (transport: ClaimTransport) => ClaimTransport;
	readonly windowMs?: number;
};

type Daemon = {readonly id: string; readonly gate: Gate; readonly owner: ClaimOwner; readonly send: (key: string, body: string, sendId: string) => Promise<void>};

export type ClaimWorld = {
	readonly time: VirtualTime;
	readonly record: EdgeRecord;
	readonly store: StoreFaults;
	readonly daemonIds: readonly string[];
	readonly send: (daemonId: string, key: string, sendId: string, body?: string) => void;
	/** Pauses a daemon at its next asynchronous step. */
	readonly pause: (daemonId: string, durationMs: number) => void;
	/** Kills a daemon and starts it again without its in-memory state. */
	readonly restart: (daemonId: string) => void;
	/** Moves the lease; the old holder still considers itself the holder for `overlapMs`. */
	readonly moveLease: (daemonId: string, overlapMs: number) => void;
	readonly setTransportLoss: (share: number) => void;
};

const CALLER_DEADLINE_MS = 4000;

export function createClaimWorld(random: Random, breakage: BrokenMechanisms = {}): ClaimWorld {
	const time = createVirtualTime(random);
	const {clock, loop} = time;
	const memory = createMemoryStore();
	const record: EdgeRecord = {executions: [], reports: []};
	const daemons = new Map<string, Daemon>();
	const daemonIds = ['entry-1', 'entry-2', 'entry-3'];
	const control: StoreFaults = {down: false, lostAnswerShare: 0, random};
	const staleHolderUntilById = new Map<string, number>();
	let holder = 'entry-1';
	let lossShare = 0;
	let starts = 0;

	const shardsOf = (id: string): Pick<Shards, 'count' | 'holding' | 'owner' | 'reportWrongOwner'> => ({
		count: 1,
		holding: (shard, now) => holder === id || now < (staleHolderUntilById.get(id) ?? 0) ? {shard, fencing: 1, validUntil: now + 1000} : undefined,
		owner: shard => ({
			shard, daemonId: holder, address: '127.0.0.1', peerPort: 1,
		}),
		reportWrongOwner: () => undefined,
	});

	const lost = <T>(step: string): Result<T, Failure> => err(createOutcomeUnknown('unavailable', {step, peer: 'owner'}, 'lost'));

	function createTransport(gate: Gate): ClaimTransport {
		async function exchange<T>(owner: string, call: (target: Daemon) => Promise<Result<T, Failure>>): Promise<Result<T, Failure>> {
			await gate.pass();
			const target = daemons.get(owner);
			const answered = target === undefined || random() < lossShare
				? lost<T>('send')
				: await Promise.race([
					target.gate.pass().then(async () => call(target)),
					loop.sleep(600).then(() => lost<T>('time out')),
				]);
			await gate.pass();
			return random() < lossShare ? lost('receive') : answered;
		}

		return {
			claim: async (owner, request, now) => exchange(owner.daemonId, async target => {
				const verdict = await target.owner.claim(owner.shard, request);
				return verdict.map(known => known.kind === 'granted' ? {kind: 'granted', until: now + known.windowMs} : known);
			}),
			settle: async (owner, key, claimId, outcome) => exchange(owner.daemonId, async target => target.owner.settle(owner.shard, key, claimId, outcome)),
		};
	}

	async function execute(gate: Gate, key: string, sendId: string, mayStart: () => boolean): Promise<Result<ServiceResponse, Failure>> {
		const origin = {step: 'call service', peer: 'service'};
		if (!mayStart() || random() < 0.1) {
			return err(createNotRun('unavailable', origin, 'not sent'));
		}

		// A daemon may be paused between its last check and the first byte.
		await gate.pass();
		const answer = `answer ${record.executions.length}`;
		record.executions.push({key, sendId, answer});
		await loop.sleep(random() * 300);
		await gate.pass();
		return random() < 0.2
			? err(createOutcomeUnknown('incomplete', origin, 'connection broken'))
			: ok({
				requestId: sendId, status: 200, contentType: undefined, body: Buffer.from(answer),
			});
	}

	function start(id: string): void {
		starts += 1;
		const gate = createGate(time);
		const writer = `${id}:${starts}`;
		let sequence = 0;
		const delayed = createDelayedStore(memory.open(), time, gate, control);
		const owner = createClaimOwner({
			shards: shardsOf(id),
			store: breakage.store?.(delayed) ?? delayed,
			clock,
			bounds: {retentionMs: 3_600_000, generationBytes: 2000, windowMs: breakage.windowMs ?? 2000},
			nextWriteId() {
				sequence += 1;
				return {writer, sequence: String(sequence)};
			},
		});
		const transport = createTransport(gate);
		const claims = createClaimsClient({
			shards: shardsOf(id), transport: breakage.transport?.(transport) ?? transport, clock, loop,
		});
		const runs = createClaimedRuns(claims, clock, loop);
		daemons.set(id, {
			id,
			gate,
			owner,
			async send(key, body, sendId) {
				const result = await runs.run({
					key, bodyDigest: body, claimId: sendId, deadline: clock.monotonic() + CALLER_DEADLINE_MS, signal: new AbortController().signal,
				}, async mayStart => execute(gate, key, sendId, mayStart));
				await gate.pass();
				record.reports.push({key, sendId, result});
			},
		});
	}

	daemonIds.forEach(start);
	return {
		time,
		record,
		store: control,
		daemonIds,
		send(daemonId, key, sendId, body = 'body') {
			void daemons.get(daemonId)?.send(key, body, sendId);
		},
		pause(daemonId, durationMs) {
			daemons.get(daemonId)?.gate.pause(durationMs);
		},
		restart(daemonId) {
			daemons.get(daemonId)?.gate.kill();
			staleHolderUntilById.delete(daemonId);
			start(daemonId);
		},
		moveLease(daemonId, overlapMs) {
			staleHolderUntilById.set(holder, clock.monotonic() + overlapMs);
			holder = daemonId;
			daemons.get(daemonId)?.owner.reloadShard(0);
		},
		setTransportLoss(share) {
			lossShare = share;
		},
	};
}

/** Checks the record, without access to internal state; returns the violations found. */
export function checkAtMostOnce(record: EdgeRecord): readonly string[] {
	const ofKey = (key: string) => record.executions.filter(execution => execution.key === key);
	const keys = [...new Set(record.executions.map(execution => execution.key))];
	const repeatedRuns = keys.filter(key => ofKey(key).length > 1).map(key => `${key} ran more than once`);
	const falseNotRun = record.reports
		.filter(report => report.result.isErr() && report.result.error.effect === 'notRun')
		.filter(report => record.executions.some(execution => execution.sendId === report.sendId))
		.map(report => `${report.sendId} was refused as not run, but ran`);
	const wrongAnswers = record.reports
		.filter(report => report.result.isOk() && !ofKey(report.key).some(execution => execution.answer === Buffer.from(report.result._unsafeUnwrap().body).toString()))
		.map(report => `${report.sendId} received a response that ${report.key} never produced`);
	return [...repeatedRuns, ...falseNotRun, ...wrongAnswers];
}
