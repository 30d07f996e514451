/** Inspects the port of a backend server from this daemon and from a few others. */
import {z} from 'zod';
import type {Random} from '../../base/common/random.js';
import type {Log} from '../../kernel/common/log.js';
import type {PortState} from '../../limits/common/stopped-daemons.js';
import {createDecoder, handleDecoded} from '../../peers/common/decode-call.js';
import type {PeerDaemon, PeerMesh} from '../../peers/common/peer-mesh.js';
import type {PeerAddress} from '../../peers/common/peers.js';
import {combinePortViews, describePort, type PortView} from '../common/port-view.js';
import type {EntryHistory} from '../common/entry-history.js';
import type {ServerEntry, ServerView} from '../common/server-view.js';

/** The inspection of ports, as one daemon performs it. */
export type PortInspection = {
	/** Resolves within a bounded time with the state of a server's port, as far as it is proven. */
	readonly inspect: (server: ServerEntry) => Promise<PortView>;
};

/** Dependencies of the inspection. */
export type PortInspectionDependencies = {
	readonly view: Pick<ServerView, 'all'>;
	readonly history: EntryHistory;
	readonly mesh: PeerMesh;
	readonly probe: (peer: PeerAddress) => Promise<PortState>;
	readonly random: Random;
	readonly log: Log;
};

/** Daemons that are asked, those in other availability zones first, because a partition mostly affects one zone. */
const ASKED_DAEMONS = 3;
/** Other servers that are tried, one after the other, to learn whether this daemon's own links work. */
const WITNESSES = 2;
/** Time limit of a question: a connection attempt to the server and one to each witness, all of which hang. */
const CALL_TIMEOUT_MS = 1600;
const PORT_CALL = 'server-port';

type PortCall = {readonly serverId: string};

const decodePortCall = createDecoder<PortCall>(z.object({serverId: z.string()}));

const VIEWS: ReadonlySet<unknown> = new Set<PortView>(['open', 'closed', 'silent', 'unknown']);

function isPortView(value: unknown): value is PortView {
	return VIEWS.has(value);
}

/** Creates the inspection and registers its side that serves other daemons. */
export function createPortInspection({
	view, history, mesh, probe, random, log,
}: PortInspectionDependencies): PortInspection {
	function pickWitnesses(serverId: string): readonly ServerEntry[] {
		return view.all()
			.filter(entry => entry.id !== serverId && !entry.isLeaving)
			.map(entry => ({entry, rank: random()}))
			.toSorted((a, b) => a.rank - b.rank)
			.slice(0, WITNESSES)
			.map(({entry}) => entry);
	}

	async function probeWitnesses(serverId: string): Promise<PortState> {
		return pickWitnesses(serverId).reduce<Promise<PortState>>(async (previous, {address, port}) => {
			const state = await previous;
			return state === 'open' ? state : probe({address, peerPort: port});
		}, Promise.resolve('unknown'));
	}

	async function viewOwn({id, address, port}: ServerEntry): Promise<PortView> {
		const state = await probe({address, peerPort: port});
		return describePort(state, state === 'open' ? state : await probeWitnesses(id));
	}

	function listAsked(): readonly PeerDaemon[] {
		return mesh.othersByReachability()
			.map(daemon => ({daemon, rank: random() + (daemon.availabilityZone === mesh.self.availabilityZone ? 1 : 0)}))
			.toSorted((a, b) => a.rank - b.rank)
			.slice(0, ASKED_DAEMONS)
			.map(({daemon}) => daemon);
	}

	async function ask(daemon: PeerDaemon, call: PortCall): Promise<readonly PortView[]> {
		const replied = await mesh.call(daemon, PORT_CALL, call, CALL_TIMEOUT_MS);
		return replied.match(({status, body}) => (status === 200 && isPortView(body) ? [body] : []), failure => {
			log.debug('another daemon did not look at the port of a server', {peer: daemon.name, serverId: call.serverId, reason: failure.message});
			return [];
		});
	}

	handleDecoded(mesh, log, PORT_CALL, decodePortCall, async ({serverId}) => {
		// Connects only to servers that this daemon knows itself.
		const entry = history.find(serverId);
		return {status: 200, body: entry === undefined ? 'unknown' : await viewOwn(entry)};
	});

	return {
		async inspect(server) {
			const own = await viewOwn(server);
			const asked = own === 'open' ? [] : listAsked();
			const others = await Promise.all(asked.map(async daemon => ask(daemon, {serverId: server.id})));
			return combinePortViews({
				own, others: others.flat(), hasOthers: asked.length > 0, isListed: history.isListed(server.id),
			});
		},
	};
}
