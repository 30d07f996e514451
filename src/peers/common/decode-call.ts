/**
 * Decodes what other daemons have sent or stored, before anything of it is kept. Builds of several versions run side by side, and whoever
 * reaches the port of the mesh can call it. Fields that are unknown here are kept as they are.
 */
import {z} from 'zod';
import {isProcessName} from '../../base/common/process-name.js';
import type {Log} from '../../kernel/common/log.js';
import type {PeerDaemon, PeerMesh, PeerReply} from './peer-mesh.js';

/** Returns a value if it has the fields of its type, otherwise undefined. */
export type Decoder<T> = (value: unknown) => T | undefined;

const STATUS_MALFORMED = 400;

/** Creates a decoder. The schema must require what the type requires. */
export function createDecoder<T>(schema: z.ZodType): Decoder<T> {
	// The schema has checked the value's fields.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	return value => (schema.safeParse(value).success ? value as T : undefined);
}

/** Schema of a daemon's identity. Calls check the address themselves. */
export const peerDaemonSchema = z.object({
	name: z.string().refine(isProcessName), incarnation: z.string(), ip: z.string(), port: z.number(), region: z.string(), availabilityZone: z.string(), capacity: z.number().optional(),
});

/** Decodes a daemon's identity. */
export const decodePeerDaemon = createDecoder<PeerDaemon>(peerDaemonSchema);

/** Registers the handler of a call. A call whose body cannot be decoded is logged and refused with status 400. */
export function handleDecoded<T>(mesh: Pick<PeerMesh, 'handle'>, log: Log, name: string, decode: Decoder<T>, handler: (body: T) => Promise<PeerReply>): void {
	mesh.handle(name, async body => {
		const decoded = decode(body);
		if (decoded === undefined) {
			log.warn('call of another daemon can not be decoded', {call: name});
			return {status: STATUS_MALFORMED, body: null};
		}

		return handler(decoded);
	});
}
