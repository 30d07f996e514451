/** The rate-limited store of model weights. Engines download weights from it when they are ordered to load a version. */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import {createServiceKey} from '../../kernel/common/contribution.js';

/** The newest weights of a model. */
export type WeightVersion = {
	readonly model: string;
	readonly version: number;
};

/** The weight store. */
export abstract class WeightStore {
	/** Reads the newest version of a model; undefined when the model has none. */
	abstract latest(model: string): Promise<Result<WeightVersion | undefined, Failure>>;
}

/** The daemon's weight store. */
export const weightStoreKey = createServiceKey<WeightStore>('weight-store');
