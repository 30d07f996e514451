/** In-memory network between the daemons of a test, with daemons that don't respond or are killed. */
import {err, ok} from 'neverthrow';
import {createNotRun, createOutcomeUnknown} from '../../src/base/common/failure.js';
import type {Loop} from '../../src/kernel/common/loop.js';
import type {PeerDaemon, PeerHandler, PeerMesh} from '../../src/peers/common/peer-mesh.js';

/** The network and its controls. */
export type MeshNetwork = {
	readonly join: (name: string, incarnation?: string, capacity?: number) => PeerMesh;
	/** Daemons that don't answer calls, and whose own calls get no answer. */
	readonly unresponsive: Set<string>;
	/** Daemons behind a partition that refuses connections: the calls to them and their own are refused. */
	readonly refusing: Set<string>;
	/** Replaces the answer of a daemon to one kind of call, as another process at its address would. */
	readonly answerFor: (name: string, call: string, body: unknown) => void;
	/** Kills a daemon's process: its port then refuses connections. */
	readonly kill: (name: string) => void;
	/** Calls that were answered so far, and the bytes of their bodies and replies as JSON. */
	readonly traffic: () => {readonly calls: number; readonly bytes: number};
};

const ONE_WAY_LATENCY_MS = 2;

/** Creates a network without daemons. */
export function createMeshNetwork(loop: Loop): MeshNetwork {
	const members = new Map<string, {readonly daemon: PeerDaemon; readonly handlers: Map<string, PeerHandler>}>();
	const silent = new Set<string>();
	const refusing = new Set<string>();
	let calls = 0;
	let bytes = 0;

	return {
		unresponsive: silent,
		refusing,
		traffic: () => ({calls, bytes}),
		answerFor(name, call, body) {
			members.get(name)?.handlers.set(call, async () => ({status: 200, body}));
		},
		kill(name) {
			members.delete(name);
		},
		join(name, incarnation = '1', capacity?: number) {
			const self: PeerDaemon = {
				name, incarnation, ip: name, port: 1, region: 'r', availabilityZone: 'z', ...(capacity !== undefined && {capacity}),
			};
			const handlers = new Map<string, PeerHandler>();
			members.set(name, {daemon: self, handlers});
			const others = (): readonly PeerDaemon[] => [...members.values()].map(member => member.daemon).filter(daemon => daemon.name !== name);
			return {
				self,
				handle(call, handler) {
					handlers.set(call, handler);
				},
				async call(peer, call, body, timeoutMs) {
					const origin = {step: call, peer: peer.ip};
					await loop.sleep(ONE_WAY_LATENCY_MS);
					if (silent.has(peer.ip) || silent.has(name)) {
						await loop.sleep(timeoutMs);
						return err(createOutcomeUnknown('unavailable', origin, 'no answer'));
					}

					const handler = members.get(peer.ip)?.handlers.get(call);
					if (handler === undefined || (peer.ip !== name && (refusing.has(peer.ip) || refusing.has(name)))) {
						return err(createNotRun('unavailable', origin, 'connect ECONNREFUSED'));
					}

					const reply = await handler(structuredClone(body));
					calls += 1;
					bytes += JSON.stringify(body).length + JSON.stringify(reply.body ?? null).length;
					await loop.sleep(ONE_WAY_LATENCY_MS);
					return ok(structuredClone(reply));
				},
				others,
				othersByReachability: others,
				setKnownDaemons: () => undefined,
			};
		},
	};
}
