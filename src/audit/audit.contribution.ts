/** Registers the daemon's audit trail. */
import {formatFailure} from '../base/common/failure.js';
import {registerContribution} from '../kernel/common/registry.js';
import {storeKey} from '../adapters/common/store.js';
import {settingsKey} from '../settings/common/settings.js';
import {auditKey} from './common/audit.js';
import {createAuditService} from './common/audit-service.js';

registerContribution({
	id: 'audit',
	requires: ['platform'],
	start(context) {
		const service = createAuditService({
			daemonId: context.use(settingsKey).daemon.id,
			store: context.use(storeKey),
			loop: context.loop,
			clock: context.clock,
			log: context.log,
		});
		context.provide(auditKey, service);
		return {
			async drain() {
				const drained = await service.drain();
				if (drained.isErr()) {
					context.log.error('audit entries lost', {failure: formatFailure(drained.error)});
				}
			},
			dispose() {
				service.dispose();
			},
		};
	},
});
