/** Decides which requests a stopping daemon still accepts. */

/** Time before the end of the process by which a request must have ended, in milliseconds: its response must reach the caller. */
export const EXIT_MARGIN_MS = 300;

/** Whether a request with this deadline has surely ended when the process does. Both are monotonic times. */
export function endsBeforeExit(deadlineAt: number, exitAt: number): boolean {
	return deadlineAt <= exitAt - EXIT_MARGIN_MS;
}
