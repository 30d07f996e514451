/** The samples of one step: what is known of each, and which groups are whole. */
import {noProgress, type LabelledProgress, type LabelledText} from './labels.js';

/** One sample. */
export type SampleRecord = {
	readonly index: number;
	readonly group: number;
	/** `pending` has no stream, `running` has one or two, `whole` waits for its score, `ready` can be handed over. */
	readonly state: 'pending' | 'running' | 'whole' | 'ready';
	/** Tokens from earlier streams that the next one goes on from. */
	readonly carried: LabelledProgress;
	readonly text: LabelledText | undefined;
	readonly score: number | undefined;
	/** Monotonic time before which no stream is started. */
	readonly notBefore: number;
	readonly failures: number;
	/** Servers that stalled under this sample; the next stream goes elsewhere. */
	readonly avoided: readonly string[];
	/** Servers that died under this sample. */
	readonly deaths: readonly string[];
	/** Set when a server died that ran nothing but this sample. */
	readonly isSuspect: boolean;
};

/** The samples of one step. */
export type SampleTable = {
	readonly get: (index: number) => SampleRecord;
	readonly all: () => readonly SampleRecord[];
	readonly update: (index: number, change: Partial<SampleRecord>) => SampleRecord;
	/** Sends a sample back to the start, without text and without what was carried. */
	readonly reset: (index: number, notBefore: number) => void;
	readonly ofGroup: (group: number) => readonly SampleRecord[];
	/** Whether all samples of a group are ready. */
	readonly isWhole: (group: number) => boolean;
	/** Whether a group can never become whole. */
	readonly isSuspect: (group: number) => boolean;
};

function createRecord(index: number, samplesPerGroup: number): SampleRecord {
	return {
		index,
		group: Math.floor(index / samplesPerGroup),
		state: 'pending',
		carried: noProgress,
		text: undefined,
		score: undefined,
		notBefore: 0,
		failures: 0,
		avoided: [],
		deaths: [],
		isSuspect: false,
	};
}

/** Creates a table of pending samples. */
export function createSampleTable(groups: number, samplesPerGroup: number): SampleTable {
	const records = Array.from({length: groups * samplesPerGroup}, (_, index) => createRecord(index, samplesPerGroup));

	function get(index: number): SampleRecord {
		const record = records[index];
		if (record === undefined) {
			throw new RangeError(`no sample ${index}`);
		}

		return record;
	}

	function update(index: number, change: Partial<SampleRecord>): SampleRecord {
		const updated = {...get(index), ...change};
		records[index] = updated;
		return updated;
	}

	const ofGroup = (group: number) => records.slice(group * samplesPerGroup, (group + 1) * samplesPerGroup);

	return {
		get,
		update,
		ofGroup,
		all: () => records,
		reset(index, notBefore) {
			update(index, {
				state: 'pending', carried: noProgress, text: undefined, score: undefined, notBefore,
			});
		},
		isWhole: group => ofGroup(group).every(record => record.state === 'ready'),
		isSuspect: group => ofGroup(group).some(record => record.isSuspect),
	};
}
