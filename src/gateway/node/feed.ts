/**
 * The configuration and server entries from another daemon that follows the store. The source answers after each word from
 * the store, so that silence of either shows; this daemon then asks the store itself, and another source later.
 */
import type {Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import type {Log} from '../../kernel/common/log.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {PeerDaemon, PeerMesh} from '../../peers/common/peer-mesh.js';
import type {DeploymentHolder} from '../common/deployment.js';
import {chooseSource, createSourceBook, isFresh} from '../common/feed-choice.js';
import {
	createFeedLog, fromFeedEntry, type FeedDelta,
} from '../common/feed-log.js';
import type {LeavingMark} from '../common/leaving-marks.js';
import type {ServerEntry, ServerView} from '../common/server-view.js';
import {createDeploymentPacker, unpackDeployment} from './packed-deployment.js';

/** The feed of one daemon. */
export type Feed = Disposable & {
	/** Takes what the own following of the store has read. */
	readonly noteEntries: (entries: readonly ServerEntry[]) => void;
	/** Notes that the store answered this daemon. */
	readonly noteReach: (isReached: boolean, now: number) => void;
};

/** What the feed works with. */
export type FeedParts = {
	readonly mesh: PeerMesh;
	readonly deployment: DeploymentHolder;
	readonly view: ServerView;
	readonly clock: Clock;
	readonly loop: Loop;
	readonly log: Log;
	readonly drainMs: number;
	/** Starts to follow the store itself until disposed. */
	readonly followStore: () => Disposable;
};

type FeedCall = {
	readonly place: number;
	readonly incarnation: string;
	readonly configuration: number;
	/** The caller's latest word of the store, as the source counts them. */
	readonly word: number;
	/** Servers that the caller knows to be leaving. */
	readonly leaving: readonly LeavingMark[];
};

type FeedReply = {
	readonly incarnation: string;
	readonly delta: FeedDelta;
	/** The configuration, packed; undefined when the caller has it. */
	readonly deployment: string | undefined;
	readonly word: number;
	/** Milliseconds since the source heard from the store. */
	readonly ageMs: number;
	/** Servers that the source knows to be leaving. */
	readonly leaving: readonly LeavingMark[];
};

const LOOK_MS = 100;
/** Longest time that the source keeps a call; it answers sooner at each word from the store. */
const HOLD_MS = 1500;
const REPLY_MS = 400;

/** Creates the feed and registers its side that serves other daemons. */
export function createFeed(parts: FeedParts): Feed {
	const {
		mesh, deployment, view, clock, loop, log,
	} = parts;
	const feedLog = createFeedLog();
	const book = createSourceBook();
	const packer = createDeploymentPacker();
	let own: Disposable | undefined;
	let heardAt = Number.NEGATIVE_INFINITY;
	let word = 0;
	const waiting = new Set<() => void>();
	let source: PeerDaemon | undefined;
	let confirmedAt = Number.NEGATIVE_INFINITY;
	let isAsking = false;
	let received: {readonly name: string; incarnation: string; place: number; word: number; entries: Map<string, ServerEntry>} | undefined;

	function startOwn(reason: string): void {
		if (own === undefined) {
			log.info('follow the store itself', {reason});
			own = parts.followStore();
		}
	}

	function stopOwn(name: string): void {
		if (own !== undefined) {
			log.info('follow another daemon', {source: name});
			own.dispose();
			own = undefined;
		}
	}

	async function waitForWord(after: number): Promise<void> {
		if (word > after) {
			return;
		}

		await new Promise<void>(resolve => {
			const finish = () => {
				waiting.delete(finish);
				timer.dispose();
				resolve();
			};

			const timer = loop.after(HOLD_MS, finish);
			waiting.add(finish);
		});
	}

	function noteLeaving(marks: readonly LeavingMark[]): void {
		marks.forEach(mark => {
			view.noteLeaving(mark, clock.monotonic());
		});
	}

	function wake(): void {
		word += 1;
		[...waiting].forEach(finish => {
			finish();
		});
	}

	// Daemons that follow this one are told at once; the source of this one is told without waiting for its reply.
	view.onDidLeave(mark => {
		wake();
		if (own === undefined && source !== undefined) {
			void mesh.call(source, 'leaving-servers', {leaving: [mark]}, REPLY_MS).then(reply => {
				if (reply.isErr()) {
					log.debug('leaving server not passed on', {serverId: mark.serverId, reason: reply.error.message});
				}
			});
		}
	});

	mesh.handle('leaving-servers', async body => {
		// The body is what another daemon's feed sent above.
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		noteLeaving((body as Pick<FeedCall, 'leaving'>).leaving);
		return {status: 200, body: null};
	});

	mesh.handle('feed', async body => {
		// The body is what `ask` sent from another daemon.
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		const call = body as FeedCall;
		const isKnown = call.incarnation === mesh.self.incarnation;
		noteLeaving(call.leaving);
		if (own === undefined) {
			return {status: 410, body: null};
		}

		await waitForWord(isKnown ? call.word : -1);
		const current = deployment.current();
		const reply: FeedReply = {
			incarnation: mesh.self.incarnation,
			delta: feedLog.since(isKnown ? call.place : -1),
			deployment: current !== undefined && current.version > call.configuration ? packer.pack(current) : undefined,
			word,
			ageMs: clock.monotonic() - heardAt,
			leaving: view.listLeaving(clock.monotonic()),
		};
		return {status: 200, body: reply};
	});

	function takeDeployment(from: PeerDaemon, packed: string | undefined): void {
		const received = packed === undefined ? undefined : unpackDeployment(packed);
		if (packed !== undefined && received === undefined) {
			log.warn('configuration of another daemon can not be read', {source: from.name});
		}

		if (received !== undefined && deployment.offer(received)) {
			log.info('configuration in force', {version: received.version, source: from.name, routes: received.routes.length});
		}
	}

	function apply(from: PeerDaemon, reply: FeedReply): void {
		const known = received?.name === from.name && received.incarnation === reply.incarnation && !reply.delta.isWhole ? received.entries : new Map<string, ServerEntry>();
		reply.delta.entries.forEach(entry => {
			known.set(entry.id, fromFeedEntry(entry));
		});
		reply.delta.removed.forEach(id => {
			known.delete(id);
		});
		received = {
			name: from.name, incarnation: reply.incarnation, place: reply.delta.place, word: reply.word, entries: known,
		};
		noteLeaving(reply.leaving);
		const now = clock.monotonic();
		confirmedAt = now - reply.ageMs;
		takeDeployment(from, reply.deployment);

		// What the source has not heard of lately says nothing of servers that vanished.
		if (isFresh(confirmedAt, now, parts.drainMs)) {
			deployment.confirm(confirmedAt);
			view.noteReach(true, now);
			view.update([...known.values()], now);
		}
	}

	async function ask(from: PeerDaemon): Promise<void> {
		isAsking = true;
		const last = received?.name === from.name ? received : undefined;
		const call: FeedCall = {
			place: last?.place ?? -1, incarnation: last?.incarnation ?? '', configuration: deployment.current()?.version ?? -1, word: last?.word ?? -1, leaving: view.listLeaving(clock.monotonic()),
		};
		const replied = await mesh.call(from, 'feed', call, HOLD_MS + REPLY_MS);
		isAsking = false;
		const now = clock.monotonic();
		if (replied.isErr() || replied.value.status !== 200) {
			log.info('source of the feed failed', {source: from.name, reason: replied.isErr() ? replied.error.message : `status ${replied.value.status}`});
			book.fail(from.name, now);
			return;
		}

		// The body is what the handler above wrote.
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		apply(from, replied.value.body as FeedReply);
		if (isFresh(confirmedAt, now, parts.drainMs)) {
			book.succeed(from.name);
			stopOwn(from.name);
		} else {
			book.fail(from.name, now);
		}
	}

	function look(now: number): void {
		source = chooseSource(mesh.self, mesh.others(), book, now);
		if (source === undefined) {
			startOwn('no daemon of the group goes before this one');
			return;
		}

		if (!isFresh(confirmedAt, now, parts.drainMs)) {
			startOwn(`no fresh word from ${source.name}`);
		}

		if (!isAsking) {
			void ask(source);
		}
	}

	const looking = loop.every({name: 'feed', periodMs: LOOK_MS, run: look});
	startOwn('started');
	return {
		noteEntries(entries) {
			feedLog.update(entries);
		},
		noteReach(isReached, now) {
			if (!isReached) {
				return;
			}

			heardAt = now;
			wake();
		},
		dispose() {
			looking.dispose();
			own?.dispose();
		},
	};
}
