/** Tells other owners of batches what this daemon has under way on engines: soon after a change, and again while work lasts. */
import type {Clock} from '../../base/common/clock.js';
import type {ServerView} from '../../gateway/common/server-view.js';
import type {Log} from '../../kernel/common/log.js';
import type {PeerDaemon, PeerMesh} from '../../peers/common/peer-mesh.js';
import type {LeavingMark} from '../../gateway/common/leaving-marks.js';
import type {EngineCounts, SharedLoads} from '../../gateway/common/shared-loads.js';
import type {Demand, StartTurns} from '../common/start-turns.js';

/** The work of one owner of batches. */
export type OwnWork = {
	/** What of its batches waits. */
	readonly demands: readonly Demand[];
	/** Open batches that it runs. */
	readonly open: number;
};

/** The exchange of one daemon. */
export type LoadExchange = {
	/** Sends what has changed to the given owners. */
	readonly tick: (owners: readonly PeerDaemon[], work: OwnWork, now: number) => void;
	/** Asks the given owners what they have under way, before this daemon starts to own. */
	readonly ask: (owners: readonly PeerDaemon[]) => void;
};

/** What the exchange works with. */
export type ExchangeParts = {
	readonly loads: SharedLoads;
	readonly view: ServerView;
	readonly turns: StartTurns;
	readonly mesh: PeerMesh;
	readonly clock: Clock;
	readonly log: Log;
	/** Called with the open batches that another owner says it runs. */
	readonly onOpen: (owner: string, open: number) => void;
};

/** What owners tell each other. */
type Word = {
	readonly owner: string;
	/** Generations under way by engine. */
	readonly counts: EngineCounts;
	/** Servers that the owner knows to be leaving; owners far away may lack them. */
	readonly leaving: readonly LeavingMark[];
	/** What of the owner's batches waits. */
	readonly demands: readonly Demand[];
	/** Open batches that the owner runs. */
	readonly open: number;
};

/** Counts that did not change are said again after this time. */
const REPEAT_MS = 500;
const CALL_TIMEOUT_MS = 400;

/** Creates the exchange. */
export function createLoadExchange(parts: ExchangeParts): LoadExchange {
	const {
		loads, view, turns, mesh, clock, log,
	} = parts;
	let own: OwnWork = {demands: [], open: 0};
	const countOwn = (): EngineCounts => loads.own(view.all().map(entry => entry.id));
	let said = '';
	let saidAt = Number.NEGATIVE_INFINITY;

	function describe(counts: EngineCounts): Word {
		return {
			owner: mesh.self.name, counts, leaving: view.listLeaving(clock.monotonic()), ...own,
		};
	}

	function learn({
		owner, counts, leaving, demands, open,
	}: Word): void {
		const now = clock.monotonic();
		loads.learn(owner, counts, now);
		turns.learn(owner, demands, now);
		parts.onOpen(owner, open);
		leaving.forEach(mark => {
			view.noteLeaving(mark, now);
		});
	}

	mesh.handle('engine-loads', async body => {
		// The body is what `tell` sent from another daemon.
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		learn(body as Word);
		return {status: 200, body: describe(countOwn())};
	});

	/** Tells an owner what this daemon has under way, and learns the same of it. */
	async function tell(owner: PeerDaemon, counts: EngineCounts): Promise<void> {
		const reply = await mesh.call(owner, 'engine-loads', describe(counts), CALL_TIMEOUT_MS);
		reply.match(({body}) => {
			// The body is what the handler above wrote.
			// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
			learn(body as Word);
		}, failure => {
			log.debug('load not passed on', {to: owner.name, reason: failure.message});
		});
	}

	return {
		tick(owners, work, now) {
			own = work;
			const counts = countOwn();
			const text = JSON.stringify({counts, open: work.open, waiting: work.demands.map(demand => `${demand.batchId} ${demand.slacksMs.length} ${demand.hopeless}`)});
			const isSame = text === said;
			const isIdle = Object.keys(counts).length === 0 && work.open === 0;
			if (isSame && (isIdle || now - saidAt < REPEAT_MS)) {
				return;
			}

			said = text;
			saidAt = now;
			owners.forEach(owner => {
				void tell(owner, counts);
			});
		},
		ask(owners) {
			const counts = countOwn();
			owners.forEach(owner => {
				void tell(owner, counts);
			});
		},
	};
}
