/** The directory of a fleet's daemons: each daemon writes its own entry to the object API. */
import {isIpAddress, isPort} from '../../base/common/address.js';
import {isProcessName} from '../../base/common/process-name.js';
import type {ApiObject} from '../../adapters/common/object-api.js';
import type {PeerDaemon} from '../../peers/common/peer-mesh.js';

/** Object kind of the daemons' entries. */
export const DAEMON_OBJECT_KIND = 'daemons';

function asText(value: unknown): string {
	return typeof value === 'string' ? value : '';
}

/** Parses a daemon's entry; undefined when a required field is missing or invalid. */
export function parseDaemonEntry(object: ApiObject): PeerDaemon | undefined {
	// Each field is checked below: an entry of another version may lack some, and one of another writer may hold anything.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	const entry = object.spec as Partial<PeerDaemon> | undefined;
	return typeof entry?.name === 'string' && isProcessName(entry.name) && typeof entry.ip === 'string' && isIpAddress(entry.ip) && typeof entry.port === 'number' && isPort(entry.port) && typeof entry.incarnation === 'string'
		? {
			name: entry.name, incarnation: entry.incarnation, ip: entry.ip, port: entry.port, region: asText(entry.region), availabilityZone: asText(entry.availabilityZone), ...(Number.isFinite(entry.capacity) && {capacity: entry.capacity}),
		}
		: undefined;
}
