/** The last resort for errors that nothing has handled: they end at most the work in which they occurred. */
import process from 'node:process';
import {createDisposable, type Disposable} from '../../base/common/disposable.js';
import {describeError, type Log} from '../common/log.js';

/** Logs errors and rejections that nothing has handled, instead of ending the process with all requests that it has accepted. */
export function logUncaughtErrors(log: Log): Disposable {
	const logError = (error: unknown): void => {
		log.error('error that nothing has handled', {error: describeError(error)});
	};

	process.on('uncaughtException', logError);
	process.on('unhandledRejection', logError);
	return createDisposable(() => {
		process.off('uncaughtException', logError);
		process.off('unhandledRejection', logError);
	});
}
