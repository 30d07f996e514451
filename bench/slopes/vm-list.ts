/** Cost of reading the platform's VM list. */
import {once} from 'node:events';
import {connect, createServer, type Socket} from 'node:net';
import {create, toBinary} from '@bufbuild/protobuf';
import {digestVms} from '../../src/membership/common/vm-directory.js';
import {ReadVmsResponseSchema} from '../../src/peers/common/gen/rosemaryshore/membership/v1/vm_directory_pb.js';
import type {Vm, VmList} from '../../src/adapters/common/vm-list.js';
import {createHttpVmList} from '../../src/adapters/node/http-vm-list.js';
import {createVmListStandin} from '../../src/standins/node/vm-list-standin.js';
import {measureCpuUs} from './measure.js';

/** Cost of one read, for sender and reader together, including the headers in both directions. */
export type ReadCost = {
	readonly bytes: number;
	readonly cpuUs: number;
};

/** Cost of reading one list. */
export type VmListCost = {
	/** A read of a list that has changed, which returns the complete list. */
	readonly changed: ReadCost;
	/** A read whose response says that the list has not changed. */
	readonly unchanged: ReadCost;
	/** Processor time of computing the digest of the list, in microseconds. */
	readonly digestUs: number;
	/** Body size of a response between daemons that contains one changed VM. */
	readonly changeBytes: number;
};

const READ_COUNT = 200;
const TIMEOUT_MS = 5000;

function createVms(length: number): readonly Vm[] {
	return Array.from({length}, (_, index) => ({
		id: `kalip-llm-${index}`, address: `10.3.${index % 200}.11`, port: 8000, availabilityZone: 'ic-anadolu-konya-a', state: 'live' as const, pool: 'kalip-llm',
	}));
}

async function runSequentially(count: number, action: (index: number) => Promise<void>): Promise<void> {
	await Array.from({length: count}).reduce<Promise<void>>(async (previous, _, index) => previous.then(async () => action(index)), Promise.resolve());
}

/** Starts a proxy that forwards connections to a port and counts their bytes. */
async function countBytes(port: number) {
	let bytes = 0;
	const sockets = new Set<Socket>();
	const server = createServer(client => {
		const upstream = connect(port, '127.0.0.1');
		[client, upstream].forEach(socket => {
			sockets.add(socket);
			socket.on('data', (chunk: Uint8Array) => {
				bytes += chunk.length;
			});
		});
		client.pipe(upstream).pipe(client);
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

/** Measures reads; `createList` returns the adapter to use for each read. */
async function measureReads(port: number, createList: (url: string) => VmList): Promise<ReadCost> {
	const counter = await countBytes(port);
	const counted = createList(`http://127.0.0.1:${counter.port}`);
	await readOnce(counted);
	const bytesBefore = counter.bytes();
	await readOnce(createList(`http://127.0.0.1:${counter.port}`));
	const bytes = counter.bytes() - bytesBefore;
	counter.dispose();
	const run = async () => runSequentially(READ_COUNT, async () => readOnce(createList(`http://127.0.0.1:${port}`)));
	await run();
	return {bytes, cpuUs: await measureCpuUs(run) / READ_COUNT};
}

/** Measures reads of a list of the given length over the loopback interface. */
export async function measureVmList(length: number): Promise<VmListCost> {
	const vms = createVms(length);
	const listening = await createVmListStandin({vms}).listen({address: '127.0.0.1', port: 0});
	const listByUrl = new Map<string, VmList>();
	const reuseList = (url: string) => {
		const list = listByUrl.get(url) ?? createHttpVmList({url, timeoutMs: TIMEOUT_MS});
		listByUrl.set(url, list);
		return list;
	};

	// A new adapter has no entity tag yet, so it reads the complete list.
	const changed = await measureReads(listening.port, url => createHttpVmList({url, timeoutMs: TIMEOUT_MS}));
	const unchanged = await measureReads(listening.port, reuseList);
	listening.dispose();
	const digestUs = await measureCpuUs(() => {
		Array.from({length: READ_COUNT}).forEach(() => {
			digestVms(vms);
		});
	}) / READ_COUNT;
	const response = create(ReadVmsResponseSchema, {digest: digestVms(vms), changesOnly: true, vms: vms.slice(0, 1).map(({state, ...vm}) => ({...vm, leaving: state === 'live'}))});
	return {
		changed, unchanged, digestUs, changeBytes: toBinary(ReadVmsResponseSchema, response).length,
	};
}
