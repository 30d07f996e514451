/** Collects the load of pools from all daemons over the mesh, and answers with the own load when another daemon collects. */
import {z} from 'zod';
import type {Log} from '../../kernel/common/log.js';
import {createDecoder, handleDecoded, peerDaemonSchema} from '../../peers/common/decode-call.js';
import type {PeerDaemon, PeerMesh} from '../../peers/common/peer-mesh.js';
import {isRefusedConnection} from '../../peers/common/process-end.js';
import {GROUP_SIZE, groupDaemons, MAXIMUM_DIRECT} from '../common/daemon-groups.js';
import type {DaemonLoad} from '../common/pool-reading.js';

/** The loads of all daemons. */
export type CollectedLoads = {
	readonly loads: readonly DaemonLoad[];
	/** Whether every daemon has answered, or its process has ended. */
	readonly isComplete: boolean;
};

/** The collection of one daemon. */
export type LoadCollection = {
	readonly collect: (pools: readonly string[]) => Promise<CollectedLoads>;
	/** Whether there are so many daemons that they are asked in groups. */
	readonly isGrouped: () => boolean;
};

/** Dependencies of the collection. */
export type LoadCollectionDependencies = {
	readonly mesh: PeerMesh;
	readonly log: Log;
	/** The load of this daemon at the given pools. */
	readonly readOwn: (pools: readonly string[]) => DaemonLoad;
};

type NamedLoad = DaemonLoad & {
	readonly daemon: string;
};

type LoadCall = {
	readonly pools: readonly string[];
	/** Daemons that the called daemon asks in turn. */
	readonly ask?: readonly PeerDaemon[];
};

const LOADS_CALL = 'pool-loads';
const CALL_TIMEOUT_MS = 500;
/** Time limit of a call to a daemon that asks others. */
const GROUP_TIMEOUT_MS = 1200;

const countsSchema = z.record(z.string(), z.number().nonnegative());
const decodeReply = createDecoder<{readonly loads: readonly NamedLoad[]; readonly ended: readonly string[]}>(z.object({
	loads: z.array(z.object({
		daemon: z.string(), requests: countsSchema, waiting: countsSchema, refused: countsSchema,
	})),
	ended: z.array(z.string()),
}));
const decodeCall = createDecoder<LoadCall>(z.object({pools: z.array(z.string()), ask: z.array(peerDaemonSchema).max(GROUP_SIZE).optional()}));

/** Creates the collection and registers its call. */
export function createLoadCollection({mesh, log, readOwn}: LoadCollectionDependencies): LoadCollection {
	async function ask([first, ...rest]: readonly PeerDaemon[], pools: readonly string[]): Promise<{readonly loads: readonly NamedLoad[]; readonly ended: readonly string[]}> {
		const answer = await mesh.call(first!, LOADS_CALL, {pools, ...(rest.length > 0 && {ask: rest})}, rest.length > 0 ? GROUP_TIMEOUT_MS : CALL_TIMEOUT_MS);
		return answer.match(({status, body}) => {
			const reply = status === 200 ? decodeReply(body) : undefined;
			// A daemon from the settings may be known by its address only.
			return reply === undefined ? {loads: [], ended: []} : {loads: reply.loads.map((load, index) => (index === 0 ? {...load, daemon: first!.name} : load)), ended: reply.ended};
			// A partition may refuse as well; the decision then lacks this daemon's load.
		}, failure => ({loads: [], ended: isRefusedConnection(failure) ? [first!.name] : []}));
	}

	async function askEach(groups: ReadonlyArray<readonly PeerDaemon[]>, pools: readonly string[]): Promise<{readonly loads: readonly NamedLoad[]; readonly ended: readonly string[]}> {
		const answers = await Promise.all(groups.map(async group => ask(group, pools)));
		return {loads: answers.flatMap(({loads}) => loads), ended: answers.flatMap(({ended}) => ended)};
	}

	handleDecoded(mesh, log, LOADS_CALL, decodeCall, async ({pools, ask: others = []}) => {
		const answers = await askEach(others.map(peer => [peer]), pools);
		return {status: 200, body: {loads: [{daemon: mesh.self.name, ...readOwn(pools)}, ...answers.loads], ended: answers.ended}};
	});

	return {
		isGrouped: () => mesh.others().length > MAXIMUM_DIRECT,
		async collect(pools) {
			const others = mesh.others();
			const {loads, ended} = await askEach(groupDaemons(others, [], 0), pools);
			const known = new Set([...loads.map(({daemon}) => daemon), ...ended]);
			return {loads: [readOwn(pools), ...loads], isComplete: others.every(({name}) => known.has(name))};
		},
	};
}
