/** The budgets of this process for the messages that it holds in memory. All servers and clients of the process share them. */
import {createByteBudget} from './byte-budget.js';
import {DEFAULT_MEMORY_MB, planMemory, type MemoryPlan} from './memory-plan.js';

const initialPlan = planMemory(DEFAULT_MEMORY_MB);

/** Bodies of requests from callers and other daemons. */
export const requestBudget = createByteBudget(initialPlan.requestBytes);
/** Bodies of responses that are being received, or that wait for a caller or another daemon that reads slowly. */
export const responseBudget = createByteBudget(initialPlan.responseBytes);
/** Heads of callers' requests, arriving or in progress. */
export const headBudget = createByteBudget(initialPlan.headBytes);

/** Sets the limits of all budgets; called before the process opens a port. */
export function applyMemoryPlan(plan: MemoryPlan): void {
	requestBudget.setMaximumBytes(plan.requestBytes);
	responseBudget.setMaximumBytes(plan.responseBytes);
	headBudget.setMaximumBytes(plan.headBytes);
}

/** Registers a listener that is called with the bytes of each message that the process no longer holds. */
export function onDidFreeMessage(listener: (bytes: number) => void): void {
	[requestBudget, responseBudget, headBudget].forEach(budget => {
		budget.onDidFree(listener);
	});
}
