/** The daemons of a fleet, as they entered themselves in the object API. */
import type {ApiObject} from '../../adapters/common/object-api.js';
import type {PeerDaemon} from '../../peers/common/peer-mesh.js';

/** Kind of the daemons' entries. */
export const DAEMON_KIND = 'daemons';

/** Reads a daemon's entry; undefined when it can't be read. */
export function readDaemon(object: ApiObject): PeerDaemon | undefined {
	// Only daemons write to this kind; an entry of another version may lack fields.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	const entry = object.spec as Partial<PeerDaemon> | undefined;
	return typeof entry?.name === 'string' && typeof entry.ip === 'string' && typeof entry.port === 'number' && typeof entry.incarnation === 'string'
		? {
			name: entry.name, incarnation: entry.incarnation, ip: entry.ip, port: entry.port, region: entry.region ?? '', availabilityZone: entry.availabilityZone ?? '', ...(typeof entry.capacity === 'number' && {capacity: entry.capacity}),
		}
		: undefined;
}
