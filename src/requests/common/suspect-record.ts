/** Crashes of suspects as they are stored and sent as JSON. */
import {z} from 'zod';

/** Schema of a record; fields that earlier versions did not write have defaults. */
export const suspectRecord = z.object({
	crashes: z.array(z.object({
		fingerprint: z.string(), crashId: z.string(), acquitted: z.boolean(), serverId: z.string(), at: z.number(), alone: z.boolean().default(false), isCommon: z.boolean().default(false), isCleared: z.boolean().default(false), isTrial: z.boolean().default(false),
	})).readonly(),
});
