/** The kinds under which the object API stores the operators' configuration and the entries of backend servers, and how to decode them. */
import {createServiceKey} from '../../kernel/common/contribution.js';
import type {ApiObject} from '../../adapters/common/object-api.js';
import type {Deployment} from './deployment.js';
import type {ServerEntry} from './server-view.js';

/** Decodes objects that other processes write to the object API. A string in place of a value says what could not be decoded. */
export abstract class DeploymentSource {
	abstract readonly configurationKind: string;

	abstract readonly serverKind: string;

	abstract readonly versionKind: string;

	abstract readonly retirementKind: string;

	/** The status to write to a retirement object once the retirement is complete. */
	abstract readonly retiredStatus: unknown;

	/** Decodes the configuration from the objects of its kind; undefined when none has been written yet. */
	abstract readDeployment(objects: ReadonlyMap<string, ApiObject>): Deployment | string | undefined;

	abstract readServer(object: ApiObject): ServerEntry | string;

	/** Decodes the model and weight version that a trainer published. */
	abstract readVersion(object: ApiObject): {readonly model: string; readonly version: number} | string;
}

/** Service key of the daemon's deployment source. */
export const deploymentSourceKey = createServiceKey<DeploymentSource>('deployment-source');
