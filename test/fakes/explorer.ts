/** Visits every state that a small model can reach in a bounded number of events, and checks each. */

/** A model: its states are immutable values. */
export type Model<S> = {
	readonly initial: S;
	/** The events possible in a state, with the states that they lead to. */
	readonly next: (state: S) => ReadonlyArray<{readonly event: string; readonly state: S}>;
	/** Equal texts mean equal states. */
	readonly keyOf: (state: S) => string;
	/** Describes what is wrong with a state; undefined when it is right. */
	readonly check: (state: S) => string | undefined;
};

/** What an exploration found. */
export type Exploration = {
	readonly states: number;
	readonly transitions: number;
	/** The shortest series of events to a wrong state. */
	readonly violation: {readonly problem: string; readonly events: readonly string[]} | undefined;
};

type Visit<S> = {
	readonly state: S;
	readonly events: readonly string[];
};

/** Explores breadth first, so that a violation comes with the fewest events. */
export function explore<S>(model: Model<S>, maximumEvents: number): Exploration {
	const seen = new Set([model.keyOf(model.initial)]);
	let frontier: ReadonlyArray<Visit<S>> = [{state: model.initial, events: []}];
	let transitions = 0;
	let violation: Exploration['violation'];

	function visit({state, events}: Visit<S>): ReadonlyArray<Visit<S>> {
		return model.next(state).flatMap(step => {
			transitions += 1;
			const key = model.keyOf(step.state);
			if (seen.has(key)) {
				return [];
			}

			seen.add(key);
			const visited = {state: step.state, events: [...events, step.event]};
			const problem = model.check(step.state);
			violation ??= problem === undefined ? undefined : {problem, events: visited.events};
			return [visited];
		});
	}

	Array.from({length: maximumEvents}).forEach(() => {
		frontier = violation === undefined ? frontier.flatMap(visited => visit(visited)) : [];
	});
	return {states: seen.size, transitions, violation};
}
