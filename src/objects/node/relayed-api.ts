/**
 * An object API that relays calls through other daemons while this daemon has no connection to the store. It is safe to send a
 * call whose response was lost again on another path, because writes are conditional: callers settle a write with an unknown
 * outcome by reading the object.
 */
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../base/common/failure.js';
import {jitter, type Random} from '../../base/common/random.js';
import type {Log} from '../../kernel/common/log.js';
import type {Metrics} from '../../kernel/common/metrics.js';
import type {Loop} from '../../kernel/common/loop.js';
import {
	ObjectApi, type ApiObject, type ApiObjectId, type ObjectChanges, type ObjectListing,
} from '../../adapters/common/object-api.js';
import {createDecoder, handleDecoded} from '../../peers/common/decode-call.js';
import type {PeerDaemon, PeerMesh} from '../../peers/common/peer-mesh.js';

/** An object call as daemons send it to each other. */
type RelayedCall = {
	readonly operation: 'read' | 'list' | 'changes' | 'create' | 'replace' | 'replaceStatus' | 'remove';
	readonly id: ApiObjectId;
	readonly since?: number;
	readonly waitMs?: number;
	readonly value?: unknown;
	readonly ifRevision?: number;
};

const decodeCall = createDecoder<RelayedCall>(z.object({
	operation: z.enum(['read', 'list', 'changes', 'create', 'replace', 'replaceStatus', 'remove']), id: z.object({kind: z.string(), name: z.string()}), since: z.number().optional(), waitMs: z.number().optional(), ifRevision: z.number().optional(),
}));

type OperationResult = Result<unknown, Failure>;

/** Id of the object that is read to check whether the store responds. The object need not exist. */
const PROBE_ID: ApiObjectId = {kind: 'daemons', name: 'probe'};

/** Dependencies of the relayed API. */
export type RelayDependencies = {
	readonly directApi: ObjectApi;
	readonly mesh: PeerMesh;
	readonly loop: Loop;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
};

/** Time limit of a relayed call in addition to its wait, long enough for the other daemon's own call to the store. */
const RELAY_TIMEOUT_MS = 1200;
/** Maximum wait of a relayed poll, short because the relaying daemon may lose its connection to the store meanwhile. */
const MAXIMUM_RELAYED_WAIT_MS = 500;
/** Interval at which a daemon without a connection to the store checks whether the store responds again. */
const PROBE_INTERVAL_MS = 500;
const PROBE_JITTER_SHARE = 0.2;
/** Number of daemons most likely reachable from which the relaying peers are chosen at random. */
const RELAY_CANDIDATE_COUNT = 4;
/** Maximum number of peers through which a call is attempted before it fails. */
const MAXIMUM_RELAY_ATTEMPTS = 2;

function shuffle<T>(items: readonly T[], random: Random): readonly T[] {
	return items.map(item => ({item, key: random()})).toSorted((a, b) => a.key - b.key).map(entry => entry.item);
}

async function runOperation(api: ObjectApi, call: RelayedCall, signal?: AbortSignal): Promise<OperationResult> {
	switch (call.operation) {
		case 'read': {
			return api.read(call.id);
		}

		case 'list': {
			return api.list(call.id.kind);
		}

		case 'changes': {
			return api.changes(call.id.kind, call.since ?? 0, call.waitMs ?? 0, signal);
		}

		case 'create': {
			return api.create(call.id, call.value);
		}

		case 'replace': {
			return api.replace(call.id, call.value, call.ifRevision ?? 0);
		}

		case 'replaceStatus': {
			return api.replaceStatus(call.id, call.value);
		}

		case 'remove': {
			return api.remove(call.id);
		}
	}
}

/** Whether a failure may be specific to this daemon's connection, so that the call may succeed through another daemon. */
function isRetryableThroughPeer(failure: Failure): boolean {
	return failure.code === 'unavailable' || failure.code === 'incomplete' || failure.code === 'overloaded' || failure.code === 'aborted';
}

/** Creates the API and registers the handler that relays calls of other daemons. */
export function createRelayedApi(dependencies: RelayDependencies): ObjectApi {
	const {
		directApi, mesh, loop, random, log, metrics,
	} = dependencies;
	let isStoreReachable = true;
	/** Polls that are waiting at the store. They are aborted when the connection to the store turns out to be lost. */
	const polls = new Set<AbortController>();

	function abortPolls(): void {
		[...polls].forEach(poll => {
			poll.abort();
		});
		polls.clear();
	}

	async function probe(): Promise<void> {
		await loop.sleep(jitter(PROBE_INTERVAL_MS, PROBE_JITTER_SHARE, random));
		const response = await directApi.read(PROBE_ID);
		if (response.isErr() && isRetryableThroughPeer(response.error)) {
			return probe();
		}

		isStoreReachable = true;
		log.info('own way to the store works again', {});
	}

	function recordLostConnection(failure: Failure): void {
		if (!isStoreReachable) {
			return;
		}

		isStoreReachable = false;
		log.warn('own way to the store is broken', {code: failure.code, reason: failure.message, polls: polls.size});
		abortPolls();
		void probe();
	}

	async function runDirect(call: RelayedCall): Promise<OperationResult> {
		const outcome = await runOperation(directApi, call);
		metrics.count('store.calls', 1, {operation: call.operation, outcome: outcome.isOk() ? 'ok' : outcome.error.code});
		if (outcome.isErr() && isRetryableThroughPeer(outcome.error)) {
			recordLostConnection(outcome.error);
		}

		return outcome;
	}

	/** Runs a poll at the store. A poll that failed may only have been aborted, so a call without a wait checks whether the store responds. */
	async function pollDirect(call: RelayedCall): Promise<OperationResult> {
		const poll = new AbortController();
		polls.add(poll);
		const outcome = await runOperation(directApi, call, poll.signal);
		metrics.count('store.calls', 1, {operation: call.operation, outcome: outcome.isOk() ? 'ok' : outcome.error.code});
		polls.delete(poll);
		if (outcome.isErr() && outcome.error.code === 'stale') {
			// The other waiting polls may have missed the same changes.
			abortPolls();
			return outcome;
		}

		if (outcome.isOk() || !isRetryableThroughPeer(outcome.error)) {
			return outcome;
		}

		return isStoreReachable ? runDirect({...call, waitMs: 0}) : outcome;
	}

	async function relayToPeer(peer: PeerDaemon, call: RelayedCall): Promise<OperationResult> {
		const reply = await mesh.call(peer, 'objects', {...call, waitMs: Math.min(MAXIMUM_RELAYED_WAIT_MS, call.waitMs ?? 0)}, RELAY_TIMEOUT_MS + MAXIMUM_RELAYED_WAIT_MS);
		return reply.andThen(({status, body}): OperationResult => {
			if (status === 200) {
				return ok(body ?? undefined);
			}

			const origin = {step: `relay ${call.operation}`, peer: peer.name};
			// With status 409, the body is the failure that this module returned on the other daemon.
			// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
			const failure = body as Failure | undefined;
			return err(status === 409 && failure?.code !== undefined ? failure : createOutcomeUnknown('unavailable', origin, `status ${status}`));
		});
	}

	/** Relays a call to one peer after another until one completes it. An unknown outcome stays unknown when later peers fail as well. */
	async function runThroughPeers(call: RelayedCall, first: Failure): Promise<OperationResult> {
		const candidates = shuffle(mesh.othersByReachability().slice(0, RELAY_CANDIDATE_COUNT), random).slice(0, MAXIMUM_RELAY_ATTEMPTS);
		return candidates.reduce<Promise<OperationResult>>(async (previous, peer) => {
			const before = await previous;
			if (before.isOk() || !isRetryableThroughPeer(before.error)) {
				return before;
			}

			const outcome = await relayToPeer(peer, call);
			if (outcome.isErr()) {
				return isRetryableThroughPeer(outcome.error) && before.error.effect === 'outcomeUnknown' ? before : outcome;
			}

			metrics.count('store.relayed', 1, {operation: call.operation});
			log.debug('object call relayed through a peer', {
				operation: call.operation, kind: call.id.kind, name: call.id.name, via: peer.name,
			});
			return outcome;
		}, Promise.resolve(err(first)));
	}

	async function run(call: RelayedCall): Promise<OperationResult> {
		if (!isStoreReachable && mesh.others().length > 0) {
			return runThroughPeers(call, createNotRun('unavailable', {step: `${call.operation} object`, peer: 'store'}, 'this daemon has no connection to the store'));
		}

		const outcome = call.operation === 'changes' ? await pollDirect(call) : await runDirect(call);
		return outcome.isErr() && isRetryableThroughPeer(outcome.error) ? runThroughPeers(call, outcome.error) : outcome;
	}

	handleDecoded(mesh, log, 'objects', decodeCall, async call => {
		if (!isStoreReachable) {
			return {status: 409, body: createNotRun('unavailable', {step: 'relay object call', peer: mesh.self.name}, 'the relaying daemon has no connection to the store either')};
		}

		const outcome = await runDirect(call);
		return outcome.match(value => ({status: 200, body: value}), failure => ({status: 409, body: failure}));
	});

	/* eslint-disable @typescript-eslint/no-unsafe-type-assertion -- the outcome of an operation has the operation's own type */
	return new (class extends ObjectApi {
		override async read(id: ApiObjectId) {
			return await run({operation: 'read', id}) as Result<ApiObject | undefined, Failure>;
		}

		override async list(kind: string) {
			return await run({operation: 'list', id: {kind, name: ''}}) as Result<ObjectListing, Failure>;
		}

		override async changes(kind: string, since: number, waitMs: number) {
			return await run({
				operation: 'changes', id: {kind, name: ''}, since, waitMs,
			}) as Result<ObjectChanges, Failure>;
		}

		override async create(id: ApiObjectId, spec: unknown) {
			return await run({operation: 'create', id, value: spec}) as Result<ApiObject, Failure>;
		}

		override async replace(id: ApiObjectId, spec: unknown, ifRevision: number) {
			return await run({
				operation: 'replace', id, value: spec, ifRevision,
			}) as Result<ApiObject, Failure>;
		}

		override async replaceStatus(id: ApiObjectId, status: unknown) {
			return await run({operation: 'replaceStatus', id, value: status}) as Result<ApiObject, Failure>;
		}

		override async remove(id: ApiObjectId) {
			return await run({operation: 'remove', id}) as Result<void, Failure>;
		}
	})();
	/* eslint-enable @typescript-eslint/no-unsafe-type-assertion */
}
