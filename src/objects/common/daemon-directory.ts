/** The directory of a fleet's daemons: each daemon writes its own entry to the object API. */
import type {ApiObject} from '../../adapters/common/object-api.js';
import type {PeerDaemon} from '../../peers/common/peer-mesh.js';

/** Object kind of the daemons' entries. */
export const DAEMON_OBJECT_KIND = 'daemons';

/** Parses a daemon's entry; undefined when a required field is missing or invalid. */
export function parseDaemonEntry(object: ApiObject): PeerDaemon | undefined {
	// Only daemons write objects of this kind; an entry of another version may lack fields.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	const entry = object.spec as Partial<PeerDaemon> | undefined;
	return typeof entry?.name === 'string' && typeof entry.ip === 'string' && typeof entry.port === 'number' && typeof entry.incarnation === 'string'
		? {
			name: entry.name, incarnation: entry.incarnation, ip: entry.ip, port: entry.port, region: entry.region ?? '', availabilityZone: entry.availabilityZone ?? '', ...(typeof entry.capacity === 'number' && {capacity: entry.capacity}),
		}
		: undefined;
}
