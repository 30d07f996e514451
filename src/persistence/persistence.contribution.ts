/** Registers the snapshots. They are stored only if the settings contain a data folder. */
import {registerContribution} from '../kernel/common/registry.js';
import {settingsKey} from '../settings/common/settings.js';
import {noSnapshots, snapshotsKey} from './common/snapshots.js';
import {createFileSnapshots} from './node/file-snapshots.js';

registerContribution({
	id: 'persistence',
	requires: [],
	start(context) {
		const {storage} = context.use(settingsKey);
		context.provide(snapshotsKey, storage ? createFileSnapshots(storage.folder, context.log) : noSnapshots);
		return {dispose: () => undefined};
	},
});
