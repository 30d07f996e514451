/** The settings of a daemon whose settings file contains only the required entries. */
import {checkSettings} from '../../src/settings/common/check.js';
import type {Settings} from '../../src/settings/common/settings.js';

export function createDefaultSettings(): Settings {
	return checkSettings({
		daemon: {
			id: 'entry-1', address: '127.0.0.1', callerPort: 8080, peerPort: 8081, availabilityZone: 'zone-a',
		},
		availabilityZones: [{name: 'zone-a', region: 'region-1'}],
		store: {url: 'http://127.0.0.1:1'},
		vmList: {url: 'http://127.0.0.1:1'},
		pools: [],
	})._unsafeUnwrap();
}
