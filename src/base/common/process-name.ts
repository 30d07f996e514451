/** Checks of the names that daemons and backend servers have in the store. */

const PROCESS_NAME = /^[\u0021-\u007E]{1,253}$/;

/** Whether a text can be the name of a process. Names are sent as header values and as parts of paths, so only visible ASCII is allowed. */
export function isProcessName(text: string): boolean {
	return PROCESS_NAME.test(text);
}
