/** Claims on idempotency keys at one shard: claims that the owner grants per second, and the writes it needs for them. */
import {setTimeout as sleep} from 'node:timers/promises';
import {createSystemClock} from '../../src/base/node/system-clock.js';
import {createMemoryStore} from '../../src/adapters/common/memory-store.js';
import {Store} from '../../src/adapters/common/store.js';
import type {ClaimRequest} from '../../src/requests/common/claims.js';
import {createClaimOwner} from '../../src/requests/node/claim-owner.js';
import {createSeededRandom} from '../../test/fakes/virtual-loop.js';
import {measureCpuUs, readHeapBytes} from './measure.js';

/** Throughput and cost of claims at one shard. */
export type ClaimCost = {
	readonly claimsPerSecond: number;
	readonly claimsPerWrite: number;
	readonly cpuUsPerClaim: number;
	readonly bytesPerClaim: number;
	readonly heapBytesPerClaim: number;
};

/** Latency of a write to the platform's store. */
const WRITE_LATENCY_MS = 4;
const CLAIM_COUNT = 3000;
const CONCURRENT_CLAIMS = 100;

/** Creates an owner of all shards on a store whose writes take `WRITE_LATENCY_MS` and are writeTotals. */
function createOwner() {
	const memory = createMemoryStore();
	const inner = memory.open();
	const writeTotals = {writes: 0, bytes: 0};
	const store = new (class extends Store {
		override read: Store['read'] = async id => inner.read(id);
		override remove: Store['remove'] = async removal => inner.remove(removal);
		override list: Store['list'] = async (kind, prefix) => inner.list(kind, prefix);
		override watch: Store['watch'] = (kind, listener) => inner.watch(kind, listener);
		override write: Store['write'] = async write => {
			writeTotals.writes += 1;
			writeTotals.bytes += write.value.length;
			await sleep(WRITE_LATENCY_MS);
			return inner.write(write);
		};
	})();
	const clock = createSystemClock();
	let sequence = 0;
	const owner = createClaimOwner({
		shards: {holding: shard => ({shard, fencing: 1, validUntil: Number.POSITIVE_INFINITY})},
		store,
		clock,
		bounds: {retentionMs: 86_400_000, generationBytes: 65_536, windowMs: 5000},
		nextWriteId() {
			sequence += 1;
			return {writer: 'bench', sequence: String(sequence)};
		},
	});
	return {owner, clock, writeTotals};
}

function createRequest(number: number): ClaimRequest {
	return {
		key: String(number).padStart(64, '0'), bodyDigest: 'd'.repeat(64), claimId: `claim-${number}`, runForMs: 30_000,
	};
}

const PACED_CLAIM_COUNT = 400;
const PACED_RUN_MS = 50;

/** Returns the writes per claim and its outcome, when claims arrive at one shard at random with a constant mean rate. */
export async function measureClaimWrites(perSecond: number): Promise<number> {
	const {owner, writeTotals} = createOwner();
	const random = createSeededRandom(1);
	const runOne = async (number: number) => {
		const request = createRequest(number);
		const claimed = await owner.claim(0, request);
		claimed._unsafeUnwrap();
		await sleep(PACED_RUN_MS);
		const settled = await owner.settle(0, request.key, request.claimId, undefined);
		settled._unsafeUnwrap();
	};

	const running: Array<Promise<void>> = [];
	await Array.from({length: PACED_CLAIM_COUNT}).reduce<Promise<void>>(async (previous, _, index) => {
		await previous;
		await sleep(-Math.log(1 - random()) * 1000 / perSecond);
		running.push(runOne(index));
	}, Promise.resolve());
	await Promise.all(running);
	return writeTotals.writes / PACED_CLAIM_COUNT;
}

/** Measures an owner under `CONCURRENT_CLAIMS` callers that send the next claim as soon as it responds. */
export async function measureClaims(): Promise<ClaimCost> {
	const {owner, clock, writeTotals} = createOwner();

	async function claimSequentially(first: number): Promise<void> {
		await Array.from({length: CLAIM_COUNT / CONCURRENT_CLAIMS}).reduce<Promise<void>>(async (previous, _, index) => {
			await previous;
			const number = first + (index * CONCURRENT_CLAIMS);
			const claimed = await owner.claim(0, createRequest(number));
			claimed._unsafeUnwrap();
		}, Promise.resolve());
	}

	const heapBefore = readHeapBytes();
	const startedAt = clock.monotonic();
	const cpuUs = await measureCpuUs(async () => {
		await Promise.all(Array.from({length: CONCURRENT_CLAIMS}, async (_, index) => claimSequentially(index)));
	});
	const seconds = (clock.monotonic() - startedAt) / 1000;
	return {
		claimsPerSecond: CLAIM_COUNT / seconds,
		claimsPerWrite: CLAIM_COUNT / writeTotals.writes,
		cpuUsPerClaim: cpuUs / CLAIM_COUNT,
		bytesPerClaim: writeTotals.bytes / CLAIM_COUNT,
		heapBytesPerClaim: (readHeapBytes() - heapBefore) / CLAIM_COUNT,
	};
}
