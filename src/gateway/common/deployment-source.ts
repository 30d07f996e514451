/** Where the operators' configuration and the entries of backend servers stand in the object API, and how they are read. */
import {createServiceKey} from '../../kernel/common/contribution.js';
import type {ApiObject} from '../../adapters/common/object-api.js';
import type {Deployment} from './deployment.js';
import type {ServerEntry} from './server-view.js';

/** Reads what others write to the object API. A text in place of a value says what can't be read. */
export abstract class DeploymentSource {
	abstract readonly configurationKind: string;

	abstract readonly serverKind: string;

	abstract readonly versionKind: string;

	abstract readonly retirementKind: string;

	/** Status of a retirement that is complete. */
	abstract readonly retiredStatus: unknown;

	/** Reads the configuration out of the objects of its kind; undefined when none was written yet. */
	abstract readDeployment(objects: ReadonlyMap<string, ApiObject>): Deployment | string | undefined;

	abstract readServer(object: ApiObject): ServerEntry | string;

	/** Reads the version that a trainer named: model and version. */
	abstract readVersion(object: ApiObject): {readonly model: string; readonly version: number} | string;
}

/** The daemon's source. */
export const deploymentSourceKey = createServiceKey<DeploymentSource>('deployment-source');
