/** Provides admission: this daemon's shares of the grants and the fair queues of the pools. */
import {joinDisposables} from '../base/common/disposable.js';
import type {Context, Contribution} from '../kernel/common/contribution.js';
import {registerContribution} from '../kernel/common/registry.js';
import {membershipKey} from '../membership/common/membership.js';
import {configurationKey} from '../plans/common/configuration.js';
import {admissionKey} from './common/admission.js';
import {capacityKey, createCapacity} from './common/capacity.js';
import {limitConcurrency} from './common/concurrency.js';
import {createGate} from './common/gate.js';

const TICK_MS = 20;

async function start(context: Context) {
	const configuration = context.use(configurationKey);
	const membership = context.use(membershipKey);
	const capacity = createCapacity();
	const countDaemons = () => Math.max(1, membership.members().filter(member => member.state === 'alive').length);
	const gate = createGate({
		grantOf: configuration.grant,
		weightOf: plan => configuration.current().lists.plans.find(candidate => candidate.name === plan)?.weight ?? 1,
		fractionOf: () => 1 / countDaemons(),
		concurrencyOf: (pool, running) => limitConcurrency({loads: capacity.loads(pool), running, daemons: countDaemons()}),
		random: context.random,
	});
	context.provide(capacityKey, capacity);
	context.provide(admissionKey, gate);

	return joinDisposables([
		context.loop.every({
			name: 'admit requests', periodMs: TICK_MS, run: gate.tick,
		}),
	]);
}

const contribution: Contribution = {id: 'limits', requires: ['membership', 'plans'], start};

registerContribution(contribution);
