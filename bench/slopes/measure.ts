/** Measures the processor time and the heap of this process. */
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

setFlagsFromString('--expose_gc');
const collectGarbage: unknown = runInNewContext('gc');

/** Returns the bytes of heap in use after a full garbage collection. */
export function readHeapBytes(): number {
	if (typeof collectGarbage === 'function') {
		collectGarbage();
	}

	return process.memoryUsage().heapUsed;
}

/** Returns the processor time of an action in microseconds, including garbage collection. */
export async function measureCpuUs(action: () => Promise<void> | void): Promise<number> {
	const before = process.cpuUsage();
	await action();
	const {user, system} = process.cpuUsage(before);
	return user + system;
}
