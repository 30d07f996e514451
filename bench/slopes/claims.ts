/** Claims of idempotency keys at one shard: how many a second the owner grants, and with how many writes. */
import {setTimeout as sleep} from 'node:timers/promises';
import {createSystemClock} from '../../src/base/node/system-clock.js';
import {createMemoryStore} from '../../src/platform/common/memory-store.js';
import {Store} from '../../src/platform/common/store.js';
import {createClaimOwner} from '../../src/requests/node/claim-owner.js';
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

/** Measures an owner whose store answers in milliseconds. */
export async function measureClaims(): Promise<ClaimCost> {
	const memory = createMemoryStore();
	const inner = memory.open();
	let writes = 0;
	let bytes = 0;
	const store = new (class extends Store {
		override read: Store['read'] = async id => inner.read(id);
		override remove: Store['remove'] = async removal => inner.remove(removal);
		override list: Store['list'] = async (kind, prefix) => inner.list(kind, prefix);
		override watch: Store['watch'] = (kind, listener) => inner.watch(kind, listener);
		override write: Store['write'] = async write => {
			writes += 1;
			bytes += write.value.length;
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

	async function claimInTurn(first: number): Promise<void> {
		await Array.from({length: CLAIMS / CONCURRENT}).reduce<Promise<void>>(async (previous, _, index) => {
			await previous;
			const number = first + (index * CONCURRENT);
			const claimed = await owner.claim(0, {
				key: String(number).padStart(64, '0'), bodyDigest: 'd'.repeat(64), claimId: `claim-${number}`, runForMs: 30_000,
			});
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
		claimsPerWrite: CLAIMS / writes,
		cpuUsPerClaim: cpuUs / CLAIMS,
		bytesPerClaim: bytes / CLAIMS,
		heapBytesPerClaim: (readHeapBytes() - heapBefore) / CLAIMS,
	};
}
