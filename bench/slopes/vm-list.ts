/** One read of the platform's VM list. */
import {once} from 'node:events';
import {connect, createServer, type Socket} from 'node:net';
import {create, toBinary} from '@bufbuild/protobuf';
import {digestVms} from '../../src/membership/common/vm-directory.js';
import {ReadVmsResponseSchema} from '../../src/peers/common/gen/rosemaryshore/membership/v1/vm_directory_pb.js';
import type {Vm, VmList} from '../../src/adapters/common/vm-list.js';
import {createHttpVmList} from '../../src/adapters/node/http-vm-list.js';
import {createVmListStandin} from '../../src/standins/node/vm-list-standin.js';
import {measureCpuUs} from './measure.js';

/** Cost of one read, sender and reader together, with the headers of both ways. */
export type ReadCost = {
	readonly bytes: number;
	readonly cpuUs: number;
};

/** Cost of reads of one list. */
export type VmListCost = {
	/** A read of a list that changed. */
	readonly whole: ReadCost;
	/** A read that is answered that nothing changed. */
	readonly unchanged: ReadCost;
	/** Processor time of digesting the list. */
	readonly digestUs: number;
	/** Body of an answer between daemons that names one changed VM. */
	readonly changeBytes: number;
};

const READS = 200;
const TIMEOUT_MS = 5000;

function createVms(length: number): readonly Vm[] {
	return Array.from({length}, (_, index) => ({
		id: `kalip-llm-${index}`, address: `10.3.${index % 200}.11`, port: 8000, availabilityZone: 'ic-anadolu-konya-a', state: 'live' as const, pool: 'kalip-llm',
	}));
}

async function runInTurn(count: number, action: (index: number) => Promise<void>): Promise<void> {
	await Array.from({length: count}).reduce<Promise<void>>(async (previous, _, index) => previous.then(async () => action(index)), Promise.resolve());
}

/** Passes connections on to a port and counts their bytes. */
async function countBytes(port: number) {
	let bytes = 0;
	const sockets = new Set<Socket>();
	const server = createServer(near => {
		const far = connect(port, '127.0.0.1');
		[near, far].forEach(socket => {
			sockets.add(socket);
			socket.on('data', (piece: Uint8Array) => {
				bytes += piece.length;
			});
		});
		near.pipe(far).pipe(near);
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = server.address();
	return {
		port: address !== null && typeof address === 'object' ? address.port : 0,
		bytes: () => bytes,
		dispose() {
			server.close();
			sockets.forEach(socket => {
				socket.destroy();
			});
		},
	};
}

async function readOnce(list: VmList): Promise<void> {
	const read = await list.list();
	read._unsafeUnwrap();
}

/** Measures reads by a list that `next` gives for each. */
async function measureReads(port: number, next: (url: string) => VmList): Promise<ReadCost> {
	const counter = await countBytes(port);
	const counted = next(`http://127.0.0.1:${counter.port}`);
	await readOnce(counted);
	const bytesBefore = counter.bytes();
	await readOnce(next(`http://127.0.0.1:${counter.port}`));
	const bytes = counter.bytes() - bytesBefore;
	counter.dispose();
	const run = async () => runInTurn(READS, async () => readOnce(next(`http://127.0.0.1:${port}`)));
	await run();
	return {bytes, cpuUs: await measureCpuUs(run) / READS};
}

/** Measures a list of the given length over the loopback interface. */
export async function measureVmList(length: number): Promise<VmListCost> {
	const vms = createVms(length);
	const listening = await createVmListStandin({vms}).listen({address: '127.0.0.1', port: 0});
	const kept = new Map<string, VmList>();
	const reuse = (url: string) => {
		const list = kept.get(url) ?? createHttpVmList({url, timeoutMs: TIMEOUT_MS});
		kept.set(url, list);
		return list;
	};

	// A new adapter knows no tag yet, so it reads the whole list.
	const whole = await measureReads(listening.port, url => createHttpVmList({url, timeoutMs: TIMEOUT_MS}));
	const unchanged = await measureReads(listening.port, reuse);
	listening.dispose();
	const digestUs = await measureCpuUs(() => {
		Array.from({length: READS}).forEach(() => {
			digestVms(vms);
		});
	}) / READS;
	const page = create(ReadVmsResponseSchema, {digest: digestVms(vms), changesOnly: true, vms: vms.slice(0, 1).map(({state, ...vm}) => ({...vm, leaving: state === 'live'}))});
	return {
		whole, unchanged, digestUs, changeBytes: toBinary(ReadVmsResponseSchema, page).length,
	};
}
