/** One read of the platform's VM list. */
import {createHttpVmList} from '../../src/platform/node/http-vm-list.js';
import {createVmListStandin} from '../../src/standins/node/vm-list-standin.js';
import {measureCpuUs} from './measure.js';

/** Cost of one read, sender and reader together. */
export type VmListCost = {
	readonly bytes: number;
	readonly cpuUs: number;
};

const READS = 200;

/** Measures reads of a list of the given length over the loopback interface. */
export async function measureVmList(length: number): Promise<VmListCost> {
	const vms = Array.from({length}, (_, index) => ({
		id: `kalip-llm-${index}`, address: `10.3.${index % 200}.11`, port: 8000, availabilityZone: 'ic-anadolu-konya-a', state: 'live' as const, pool: 'kalip-llm',
	}));
	const listening = await createVmListStandin({vms}).listen({address: '127.0.0.1', port: 0});
	const list = createHttpVmList({url: `http://127.0.0.1:${listening.port}`, timeoutMs: 5000});
	const run = async () => Array.from({length: READS}).reduce<Promise<void>>(async previous => {
		await previous;
		const read = await list.list();
		read._unsafeUnwrap();
	}, Promise.resolve());
	await run();
	const cpuUs = await measureCpuUs(run);
	listening.dispose();
	return {bytes: JSON.stringify({vms}).length, cpuUs: cpuUs / READS};
}
