/** The state of each sample of one step, and which groups are complete. */
import {noProgress, type LabelledProgress, type LabelledText} from './labels.js';

/** One sample. */
export type SampleRecord = {
	readonly index: number;
	readonly group: number;
	/**
	 * `pending`: no stream runs. `running`: one or two streams run. `whole`: the text is complete and waits for its score.
	 * `ready`: the sample can be delivered.
	 */
	readonly state: 'pending' | 'running' | 'whole' | 'ready';
	/** Tokens from earlier streams, from which the next stream can resume. */
	readonly resumable: LabelledProgress;
	readonly text: LabelledText | undefined;
	readonly score: number | undefined;
	/** Monotonic time in milliseconds before which no stream is started. */
	readonly notBefore: number;
	readonly failures: number;
	/** Servers on which a stream of this sample stalled or broke off recently; the next stream avoids them. */
	readonly avoidedServerIds: readonly string[];
};

/** The samples of one step, by index. */
export type SampleTable = {
	readonly get: (index: number) => SampleRecord;
	readonly all: () => readonly SampleRecord[];
	readonly update: (index: number, change: Partial<SampleRecord>) => SampleRecord;
	/** Makes a sample pending again and discards its text and its resumable progress. */
	readonly reset: (index: number, notBefore: number) => void;
	readonly samplesOfGroup: (group: number) => readonly SampleRecord[];
	/** Whether all samples of a group are ready. */
	readonly isGroupComplete: (group: number) => boolean;
};

function createRecord(index: number, samplesPerGroup: number): SampleRecord {
	return {
		index,
		group: Math.floor(index / samplesPerGroup),
		state: 'pending',
		resumable: noProgress,
		text: undefined,
		score: undefined,
		notBefore: 0,
		failures: 0,
		avoidedServerIds: [],
	};
}

/** Creates a table of pending samples. */
export function createSampleTable(groups: number, samplesPerGroup: number): SampleTable {
	const records = Array.from({length: groups * samplesPerGroup}, (_, index) => createRecord(index, samplesPerGroup));

	function get(index: number): SampleRecord {
		const record = records[index];
		if (record === undefined) {
			throw new RangeError(`sample index ${index} does not exist`);
		}

		return record;
	}

	function update(index: number, change: Partial<SampleRecord>): SampleRecord {
		const updated = {...get(index), ...change};
		records[index] = updated;
		return updated;
	}

	const samplesOfGroup = (group: number) => records.slice(group * samplesPerGroup, (group + 1) * samplesPerGroup);

	return {
		get,
		update,
		samplesOfGroup,
		all: () => records,
		reset(index, notBefore) {
			update(index, {
				state: 'pending', resumable: noProgress, text: undefined, score: undefined, notBefore,
			});
		},
		isGroupComplete: group => samplesOfGroup(group).every(record => record.state === 'ready'),
	};
}
