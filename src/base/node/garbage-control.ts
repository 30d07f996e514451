/**
 * Collects garbage when much of the process's memory is in use and messages were freed. V8 lets garbage outside its heap grow
 * by 64 MB and more before it collects it, and the smallest VM has 210 MB.
 */
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {needsCollection} from '../common/collection-need.js';
import {onDidFreeMessage} from '../common/message-budgets.js';

const MEGABYTE = 1024 * 1024;

/** Returns V8's function that collects garbage, which exists only in contexts created after the flag was set. */
function getCollector(): () => void {
	setFlagsFromString('--expose-gc');
	// The context has just been created with the function.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	return runInNewContext('gc') as () => void;
}

/** Watches the messages of a process that may use `memoryMb` megabytes. */
export function startGarbageControl(memoryMb: number): void {
	const collect = getCollector();
	let freedBytes = 0;
	let isScheduled = false;
	onDidFreeMessage(bytes => {
		freedBytes += bytes;
		if (!isScheduled && needsCollection(freedBytes, () => process.memoryUsage.rss(), memoryMb * MEGABYTE)) {
			isScheduled = true;
			// What was just freed is still referenced by the functions that free it.
			setImmediate(() => {
				isScheduled = false;
				freedBytes = 0;
				collect();
			});
		}
	});
}
