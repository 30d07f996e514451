/** Registers all features of the daemon: importing a `*.contribution` module registers it with the kernel. */
import '../../persistence/persistence.contribution.js';
import '../../adapters/adapters.contribution.js';
import '../../peers/peers.contribution.js';
import '../../audit/audit.contribution.js';
import '../../membership/membership.contribution.js';
import '../../membership/vm-directory.contribution.js';
import '../../leases/leases.contribution.js';
import '../../plans/plans.contribution.js';
import '../../limits/limits.contribution.js';
import '../../routing/routing.contribution.js';
import '../../requests/requests.contribution.js';
import '../../requests/operators.contribution.js';
import '../../weights/node/weights.contribution.js';
import '../../rollouts/node/rollouts.contribution.js';
import '../operations.contribution.js';
import type {Contribution} from '../../kernel/common/contribution.js';
import {listContributions} from '../../kernel/common/registry.js';

/** Returns the contributions of all features that a daemon starts. */
export function listFeatures(): readonly Contribution[] {
	return listContributions();
}
