/**
 * A configuration as daemons send it to each other: packed once a version. One daemon may send it to 29 others over a link of
 * 42 Mbit/s; 1,400 routes are half a megabyte as they are.
 */
import {Buffer} from 'node:buffer';
import {gunzipSync, gzipSync} from 'node:zlib';
import type {Deployment} from '../common/deployment.js';

/** Packs configurations, each version once. */
export type DeploymentPacker = {
	/** Returns base64 text. */
	readonly pack: (deployment: Deployment) => string;
};

/** Routes differ in few words, so the fastest level already takes nine tenths off. */
const PACK_LEVEL = 1;
/** Largest configuration that is unpacked: the object that holds it has a megabyte. */
const LARGEST_DEPLOYMENT_BYTES = 8 * 1024 * 1024;

/** Creates a packer that remembers the last version. */
export function createDeploymentPacker(): DeploymentPacker {
	let last: {readonly version: number; readonly text: string} | undefined;
	return {
		pack(deployment) {
			if (last?.version !== deployment.version) {
				last = {version: deployment.version, text: gzipSync(JSON.stringify(deployment), {level: PACK_LEVEL}).toString('base64')};
			}

			return last.text;
		},
	};
}

/** Unpacks what another daemon's packer made; undefined when the text is something else. */
export function unpackDeployment(text: string): Deployment | undefined {
	try {
		// Only daemons of this version's own protocol send it.
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		return JSON.parse(gunzipSync(Buffer.from(text, 'base64'), {maxOutputLength: LARGEST_DEPLOYMENT_BYTES}).toString('utf8')) as Deployment;
	} catch {
		return undefined;
	}
}
