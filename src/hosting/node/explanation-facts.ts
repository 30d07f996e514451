/** Reads what an explanation needs from the parts of a running daemon. */
import {isRequestTarget} from '../../adapters/common/http-fields.js';
import type {BatchService} from '../../batches/node/batch-service.js';
import type {Gateway} from '../../gateway/gateway.contribution.js';
import type {CallerProtocol} from '../common/caller-protocol.js';
import type {ExplanationFacts} from '../common/explanation.js';

/** Dependencies of the facts. */
export type ExplanationFactDependencies = Pick<ExplanationFacts, 'daemon' | 'phase'> & Pick<Gateway, 'deployment' | 'view' | 'loads' | 'permits' | 'limits' | 'links' | 'listPoolServers' | 'suspects'> & {
	readonly protocol: CallerProtocol;
	readonly batches: Pick<BatchService, 'previewOwner' | 'findKnownOwner'>;
};

/** Creates the facts. */
export function createExplanationFacts(dependencies: ExplanationFactDependencies): ExplanationFacts {
	const {protocol, batches, limits} = dependencies;
	return {
		...dependencies,
		authorize: undefined,
		limitOf: ({id, startedAt}) => limits.perSecondOf(id, startedAt),
		readCall({method, path, host}) {
			const call = protocol.readRequest(method, path, {host});
			if (call.type === 'malformed' || !isRequestTarget(path)) {
				return {kind: 'malformed'};
			}

			return call.type === 'forward' ? {kind: 'forward'} : {kind: 'batchCall', batchId: call.batchId};
		},
		findKnownOwner: batches.findKnownOwner,
		findOwner({id, host, path}, now) {
			const owner = batches.previewOwner({id: id ?? '', host, path}, now);
			if (owner === undefined) {
				return {name: 'another daemon', reason: 'this daemon does not reach the engines, so it would ask for one that does'};
			}

			return {name: owner.name, reason: owner.isKnown ? 'it owned the batch when this daemon last heard of it' : `it would own ${id === undefined ? 'a batch' : 'this batch'} if it were submitted here now`};
		},
	};
}
