/** Public API of the library: starting a daemon, the contribution API, and the interfaces to the platform. */
export {startDaemon, type Daemon, type DaemonOptions} from './code/node/daemon.js';
export {listFeatures} from './code/node/contributions.js';
export {checkSettings, createSettingsJsonSchema} from './settings/common/check.js';
export {settingsSchema, settingsKey, type Settings} from './settings/common/settings.js';
export {readSettings} from './settings/node/json-file.js';
export {registerContribution, listContributions} from './kernel/common/registry.js';
export {createServiceKey} from './kernel/common/contribution.js';
export type {
	Activation, Context, Contribution, ServiceKey,
} from './kernel/common/contribution.js';
export type {Surroundings} from './kernel/common/kernel.js';
export type {Failure, FailureCode, Effect} from './base/common/failure.js';
export {
	adaptersKey, type Adapters, type AdapterTable, type RemotePeer,
} from './adapters/common/adapters.js';
export {Engine} from './adapters/common/engine.js';
export {Service} from './adapters/common/service.js';
export {Scorer} from './adapters/common/scorer.js';
export {Store} from './adapters/common/store.js';
export {VmList} from './adapters/common/vm-list.js';
export {WeightStore} from './adapters/common/weight-store.js';
