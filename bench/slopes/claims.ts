/** Claims of idempotency keys at one shard: how many a second the owner grants, and with how many writes. */
import {setTimeout as sleep} from 'node:timers/promises';
import {createSystemClock} from '../../src/base/node/system-clock.js';
import {createMemoryStore} from '../../src/adapters/common/memory-store.js';
import {Store} from '../../src/adapters/common/store.js';
import type {ClaimRequest} from '../../src/requests/common/claims.js';
import {createClaimOwner} from '../../src/requests/node/claim-owner.js';
import {createSeededRandom} from '../../test/fakes/virtual-loop.js';
import {measureCpuUs, readHeapBytes} from './measure.js';

/** Cost of claims. */
export type ClaimCost = {
	readonly claimsPerSecond: number;
	readonly claimsPerWrite: number;
	readonly cpuUsPerClaim: number;
	readonly bytesPerClaim: number;
	readonly heapBytesPerClaim: number;
};

/** Time that a write of the platform's store takes. */
const WRITE_MS = 4;
const CLAIMS = 3000;
const CONCURRENT = 100;

/** Creates an owner of every shard over a store that answers in milliseconds and is counted. */
function createOwner() {
	const memory = createMemoryStore();
	const inner = memory.open();
	const counted = {writes: 0, bytes: 0};
	const store = new (class extends Store {
		override read: Store['read'] = async id => inner.read(id);
		override remove: Store['remove'] = async removal => inner.remove(removal);
		override list: Store['list'] = async (kind, prefix) => inner.list(kind, prefix);
		override watch: Store['watch'] = (kind, listener) => inner.watch(kind, listener);
		override write: Store['write'] = async write => {
			counted.writes += 1;
			counted.bytes += write.value.length;
			await sleep(WRITE_MS);
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
	return {owner, clock, counted};
}

function createRequest(number: number): ClaimRequest {
	return {
		key: String(number).padStart(64, '0'), bodyDigest: 'd'.repeat(64), claimId: `claim-${number}`, runForMs: 30_000,
	};
}

const PACED_CLAIMS = 400;
const PACED_RUN_MS = 50;

/** Returns the writes per claim, its outcome included, when claims come to one shard at a steady rate by chance. */
export async function measureClaimWrites(perSecond: number): Promise<number> {
	const {owner, counted} = createOwner();
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
	await Array.from({length: PACED_CLAIMS}).reduce<Promise<void>>(async (previous, _, index) => {
		await previous;
		await sleep(-Math.log(1 - random()) * 1000 / perSecond);
		running.push(runOne(index));
	}, Promise.resolve());
	await Promise.all(running);
	return counted.writes / PACED_CLAIMS;
}

/** Measures an owner that is asked as fast as it answers. */
export async function measureClaims(): Promise<ClaimCost> {
	const {owner, clock, counted} = createOwner();

	async function claimInTurn(first: number): Promise<void> {
		await Array.from({length: CLAIMS / CONCURRENT}).reduce<Promise<void>>(async (previous, _, index) => {
			await previous;
			const number = first + (index * CONCURRENT);
			const claimed = await owner.claim(0, createRequest(number));
			claimed._unsafeUnwrap();
		}, Promise.resolve());
	}

	const heapBefore = readHeapBytes();
	const startedAt = clock.monotonic();
	const cpuUs = await measureCpuUs(async () => {
		await Promise.all(Array.from({length: CONCURRENT}, async (_, index) => claimInTurn(index)));
	});
	const seconds = (clock.monotonic() - startedAt) / 1000;
	return {
		claimsPerSecond: CLAIMS / seconds,
		claimsPerWrite: CLAIMS / counted.writes,
		cpuUsPerClaim: cpuUs / CLAIMS,
		bytesPerClaim: counted.bytes / CLAIMS,
		heapBytesPerClaim: (readHeapBytes() - heapBefore) / CLAIMS,
	};
}
