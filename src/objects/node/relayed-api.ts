/**
 * An object API that goes through another daemon when the own way to the store is broken. The store's conditions make it
 * safe that a call whose answer was lost is sent again on another way: callers settle doubtful writes by reading back.
 */
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../base/common/failure.js';
import {jitter, type Random} from '../../base/common/random.js';
import type {Log} from '../../kernel/common/log.js';
import type {Metrics} from '../../kernel/common/metrics.js';
import type {Loop} from '../../kernel/common/loop.js';
import {
	ObjectApi, type ApiObject, type ApiObjectId, type ObjectChanges, type ObjectListing,
} from '../../adapters/common/object-api.js';
import type {PeerDaemon, PeerMesh} from '../../peers/common/peer-mesh.js';

/** A call in the form that daemons hand to each other. */
type RelayedCall = {
	readonly operation: 'read' | 'list' | 'changes' | 'create' | 'replace' | 'replaceStatus' | 'remove';
	readonly id: ApiObjectId;
	readonly since?: number;
	readonly waitMs?: number;
	readonly value?: unknown;
	readonly ifRevision?: number;
};

type Outcome = Result<unknown, Failure>;

/** Object that is read to see whether the store answers; it need not exist. */
const PROBE_ID: ApiObjectId = {kind: 'daemons', name: 'probe'};

/** What the relay works with. */
export type RelayParts = {
	readonly direct: ObjectApi;
	readonly mesh: PeerMesh;
	readonly loop: Loop;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
};

/** Time for a relayed call beyond its wait: the other daemon's own call to the store fits into it. */
const RELAY_TIMEOUT_MS = 1200;
/** Longest wait of a relayed poll: the daemon that relays it may lose the store meanwhile. */
const RELAY_WAIT_MS = 500;
/** Time between looks whether the own way to the store works again. */
const PROBE_MS = 500;
const PROBE_JITTER = 0.2;
/** Daemons, of those that are likely up, among which the peers are drawn. */
const RELAY_CANDIDATES = 4;
/** Peers that are asked before a call is given up. */
const RELAY_ATTEMPTS = 2;

function shuffle<T>(items: readonly T[], random: Random): readonly T[] {
	return items.map(item => ({item, key: random()})).toSorted((a, b) => a.key - b.key).map(entry => entry.item);
}

async function runOn(api: ObjectApi, call: RelayedCall, signal?: AbortSignal): Promise<Outcome> {
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

/** Failures that another daemon may not meet. */
function isLocal(failure: Failure): boolean {
	return failure.code === 'unavailable' || failure.code === 'incomplete' || failure.code === 'overloaded' || failure.code === 'aborted';
}

/** Creates the API and registers its side that serves other daemons. */
export function createRelayedApi(parts: RelayParts): ObjectApi {
	const {
		direct, mesh, loop, random, log, metrics,
	} = parts;
	let isDirectUp = true;
	/** Polls that wait at the store; they are cut when the way to it turns out to be broken. */
	const polls = new Set<AbortController>();

	function cutPolls(): void {
		[...polls].forEach(poll => {
			poll.abort();
		});
		polls.clear();
	}

	async function probe(): Promise<void> {
		await loop.sleep(jitter(PROBE_MS, PROBE_JITTER, random));
		const answer = await direct.read(PROBE_ID);
		if (answer.isErr() && isLocal(answer.error)) {
			return probe();
		}

		isDirectUp = true;
		log.info('own way to the store works again', {});
	}

	function noteLost(failure: Failure): void {
		if (!isDirectUp) {
			return;
		}

		isDirectUp = false;
		log.warn('own way to the store is broken', {code: failure.code, reason: failure.message, polls: polls.size});
		cutPolls();
		void probe();
	}

	async function runDirect(call: RelayedCall): Promise<Outcome> {
		const outcome = await runOn(direct, call);
		metrics.count('store.calls', 1, {operation: call.operation, outcome: outcome.isOk() ? 'ok' : outcome.error.code});
		if (outcome.isErr() && isLocal(outcome.error)) {
			noteLost(outcome.error);
		}

		return outcome;
	}

	/** A poll that is cut off says little of the store: another one shows whether it answers. */
	async function pollDirect(call: RelayedCall): Promise<Outcome> {
		const poll = new AbortController();
		polls.add(poll);
		const outcome = await runOn(direct, call, poll.signal);
		metrics.count('store.calls', 1, {operation: call.operation, outcome: outcome.isOk() ? 'ok' : outcome.error.code});
		polls.delete(poll);
		if (outcome.isErr() && outcome.error.code === 'stale') {
			// What this poll missed, others may have missed as well.
			cutPolls();
			return outcome;
		}

		if (outcome.isOk() || !isLocal(outcome.error)) {
			return outcome;
		}

		return isDirectUp ? runDirect({...call, waitMs: 0}) : outcome;
	}

	async function askPeer(peer: PeerDaemon, call: RelayedCall): Promise<Outcome> {
		const reply = await mesh.call(peer, 'objects', {...call, waitMs: Math.min(RELAY_WAIT_MS, call.waitMs ?? 0)}, RELAY_TIMEOUT_MS + RELAY_WAIT_MS);
		return reply.andThen(({status, body}): Outcome => {
			if (status === 200) {
				return ok(body ?? undefined);
			}

			const origin = {step: `relay ${call.operation}`, peer: peer.name};
			// The body of a refusal is a failure as this module wrote it on the other daemon.
			// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
			const failure = body as Failure | undefined;
			return err(status === 409 && failure?.code !== undefined ? failure : createOutcomeUnknown('unavailable', origin, `status ${status}`));
		});
	}

	/** Asks peers in turn. A doubtful outcome stays doubtful, whatever later peers could not do. */
	async function runByPeers(call: RelayedCall, first: Failure): Promise<Outcome> {
		const candidates = shuffle(mesh.likelyUp().slice(0, RELAY_CANDIDATES), random).slice(0, RELAY_ATTEMPTS);
		return candidates.reduce<Promise<Outcome>>(async (previous, peer) => {
			const before = await previous;
			if (before.isOk() || !isLocal(before.error)) {
				return before;
			}

			const outcome = await askPeer(peer, call);
			if (outcome.isErr()) {
				return isLocal(outcome.error) && before.error.effect === 'outcomeUnknown' ? before : outcome;
			}

			metrics.count('store.relayed', 1, {operation: call.operation});
			log.debug('object call went through a peer', {
				operation: call.operation, kind: call.id.kind, name: call.id.name, via: peer.name,
			});
			return outcome;
		}, Promise.resolve(err(first)));
	}

	async function run(call: RelayedCall): Promise<Outcome> {
		if (!isDirectUp && mesh.others().length > 0) {
			return runByPeers(call, createNotRun('unavailable', {step: `${call.operation} object`, peer: 'store'}, 'the own way to the store is broken'));
		}

		const outcome = call.operation === 'changes' ? await pollDirect(call) : await runDirect(call);
		return outcome.isErr() && isLocal(outcome.error) ? runByPeers(call, outcome.error) : outcome;
	}

	mesh.handle('objects', async body => {
		// Only daemons of this version's own protocol call this port.
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		const call = body as RelayedCall;
		if (!isDirectUp) {
			return {status: 409, body: createNotRun('unavailable', {step: 'relay object call', peer: mesh.self.name}, 'the store is out of reach here too')};
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
