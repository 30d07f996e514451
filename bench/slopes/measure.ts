/** What the slopes are measured with: processor time and heap of this process. */
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

/** Returns the processor time that an action took, in microseconds, garbage collection included. */
export async function measureCpuUs(action: () => Promise<void> | void): Promise<number> {
	const before = process.cpuUsage();
	await action();
	const {user, system} = process.cpuUsage(before);
	return user + system;
}
