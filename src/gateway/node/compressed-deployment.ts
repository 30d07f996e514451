/**
 * Compressed form in which daemons send the configuration to each other. A configuration with 1,400 routes takes half a megabyte
 * uncompressed, and one daemon may send it to 29 others over a link of 42 Mbit/s.
 */
import {Buffer} from 'node:buffer';
import {gunzipSync, gzipSync} from 'node:zlib';
import {z} from 'zod';
import {createDecoder} from '../../peers/common/decode-call.js';
import {isOrganisationName, type Deployment} from '../common/deployment.js';

/** Compresses configurations, each version only once. */
export type DeploymentCompressor = {
	/** Returns the compressed configuration as base64. */
	readonly compress: (deployment: Deployment) => string;
};

/** Routes are very similar to each other, so the fastest gzip level already reduces the size by nine tenths. */
const COMPRESSION_LEVEL = 1;
/** Maximum decompressed size that is accepted. The object that stores the configuration is at most one megabyte. */
const MAXIMUM_DEPLOYMENT_BYTES = 8 * 1024 * 1024;

const organisationSchema = z.object({name: z.string().refine(isOrganisationName), keys: z.array(z.string()), priority: z.number().optional()});
const tenancySchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('none')}),
	z.object({kind: z.literal('required'), organisations: z.array(organisationSchema)}),
]);
/** Checks what decides who is admitted. The rest has the form in which a daemon decoded it, and is not checked again. */
const decodeDeployment = createDecoder<Deployment>(z.object({
	version: z.number(), routes: z.array(z.object({})), pools: z.array(z.object({})), tenancy: tenancySchema.optional(),
}));

/** Creates a compressor that caches the last version. */
export function createDeploymentCompressor(): DeploymentCompressor {
	let last: {readonly version: number; readonly text: string} | undefined;
	return {
		compress(deployment) {
			if (last?.version !== deployment.version) {
				last = {version: deployment.version, text: gzipSync(JSON.stringify(deployment), {level: COMPRESSION_LEVEL}).toString('base64')};
			}

			return last.text;
		},
	};
}

/** Decompresses a configuration from another daemon; undefined when the text is not one. */
export function decompressDeployment(text: string): Deployment | undefined {
	try {
		return decodeDeployment(JSON.parse(gunzipSync(Buffer.from(text, 'base64'), {maxOutputLength: MAXIMUM_DEPLOYMENT_BYTES}).toString('utf8')));
	} catch {
		return undefined;
	}
}
