/** Bounded model checking: visits every state that a model reaches within a number of events, and checks each. */

/** A model whose states are immutable values. */
export type Model<S> = {
	readonly initial: S;
	/** The possible events in a state, each with the resulting state. */
	readonly next: (state: S) => ReadonlyArray<{readonly event: string; readonly state: S}>;
	/** Returns a key of the state; states with equal keys are equal. */
	readonly keyOf: (state: S) => string;
	/** Describes the violation in a state; undefined when the state is valid. */
	readonly check: (state: S) => string | undefined;
};

/** The result of an exploration. */
export type Exploration = {
	readonly states: number;
	readonly transitions: number;
	/** The shortest sequence of events that leads to an invalid state. */
	readonly violation: {readonly problem: string; readonly events: readonly string[]} | undefined;
};

type Visit<S> = {
	readonly state: S;
	readonly events: readonly string[];
};

/** Explores breadth first, so that the reported violation has the fewest events. */
export function explore<S>(model: Model<S>, maximumEvents: number): Exploration {
	const seen = new Set([model.keyOf(model.initial)]);
	let frontier: ReadonlyArray<Visit<S>> = [{state: model.initial, events: []}];
	let transitions = 0;
	let violation: Exploration['violation'];

	function visit({state, events}: Visit<S>): ReadonlyArray<Visit<S>> {
		return model.next(state).flatMap(transition => {
			transitions += 1;
			const key = model.keyOf(transition.state);
			if (seen.has(key)) {
				return [];
			}

			seen.add(key);
			const visited = {state: transition.state, events: [...events, transition.event]};
			const problem = model.check(transition.state);
			violation ??= problem === undefined ? undefined : {problem, events: visited.events};
			return [visited];
		});
	}

	Array.from({length: maximumEvents}).forEach(() => {
		frontier = violation === undefined ? frontier.flatMap(visited => visit(visited)) : [];
	});
	return {states: seen.size, transitions, violation};
}
