/**
 * Receives the configuration and server entries from another daemon, the source, that polls the store. The source responds to a
 * long poll after each answer from the store, so that a failure of either is noticed by the missing response. This daemon then
 * polls the store itself until it has found a working source again.
 */
import {z} from 'zod';
import {isIpAddress, isPort} from '../../base/common/address.js';
import {isProcessName} from '../../base/common/process-name.js';
import type {Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import type {Log} from '../../kernel/common/log.js';
import type {Loop} from '../../kernel/common/loop.js';
import {limitNoticeSchema, type ServerLimitNotice, type ServerLimits} from '../../limits/common/server-limits.js';
import {createDecoder, handleDecoded} from '../../peers/common/decode-call.js';
import type {PeerDaemon, PeerMesh} from '../../peers/common/peer-mesh.js';
import type {DeploymentHolder} from '../common/deployment.js';
import {
	chooseSource, createSourceFailureTable, isFresh, listSourcesOfOtherGroups,
} from '../common/feed-choice.js';
import {
	createFeedLog, feedEntrySchema, fromFeedEntry, type FeedDelta,
} from '../common/feed-log.js';
import {leavingNoticeSchema, type LeavingNotice} from '../common/leaving-notices.js';
import type {ServerEntry, ServerView} from '../common/server-view.js';
import {createDeploymentCompressor, decompressDeployment} from './compressed-deployment.js';

/** The feed of one daemon. */
export type Feed = Disposable & {
	/** Records the entries that this daemon has read from the store. */
	readonly recordEntries: (entries: readonly ServerEntry[]) => void;
	/** Records whether the store answered this daemon. */
	readonly recordConnectivity: (isConnected: boolean, now: number) => void;
};

/** Dependencies of the feed. */
export type FeedDependencies = {
	readonly mesh: PeerMesh;
	readonly deployment: DeploymentHolder;
	readonly view: ServerView;
	readonly limits: ServerLimits;
	readonly clock: Clock;
	readonly loop: Loop;
	readonly log: Log;
	readonly drainMs: number;
	/** Starts polling the store directly, until disposed. */
	readonly followStore: () => Disposable;
};

type FeedRequest = {
	readonly place: number;
	readonly incarnation: string;
	readonly configuration: number;
	/** Number of the last update that the follower received, as counted by the source. */
	readonly word: number;
	/** Servers that the follower knows to be leaving. */
	readonly leaving: readonly LeavingNotice[];
	/** Revision of the source's request limits that the follower has; undefined from daemons of versions without limits. */
	readonly limitRevision?: number;
	/** All request limits that the follower knows, in its first request to a source. */
	readonly limits?: readonly ServerLimitNotice[];
};

type FeedResponse = {
	readonly incarnation: string;
	readonly delta: FeedDelta;
	/** The compressed configuration; undefined when the follower already has it. */
	readonly deployment: string | undefined;
	/** Number of the last update, as counted by the source. */
	readonly word: number;
	/** Milliseconds since the store last answered the source. */
	readonly ageMs: number;
	/** Servers that the source knows to be leaving. */
	readonly leaving: readonly LeavingNotice[];
	/** Changes of request limits since the follower's revision; undefined from daemons of versions without limits. */
	readonly limits?: ReturnType<ServerLimits['since']>;
	/** Whether the source's own configuration has not been confirmed for so long that a newer one may be in force; undefined from daemons of builds that do not tell. */
	readonly isConfigurationOutdated?: boolean;
};

const decodeLimits = createDecoder<Pick<FeedRequest, 'limits'>>(z.object({limits: z.array(limitNoticeSchema).optional()}));
const decodeLeaving = createDecoder<Pick<FeedRequest, 'leaving'>>(z.object({leaving: z.array(leavingNoticeSchema)}));
const decodeRequest = createDecoder<FeedRequest>(z.object({
	place: z.number(), incarnation: z.string(), configuration: z.number(), word: z.number(), leaving: z.array(leavingNoticeSchema), limitRevision: z.number().optional(), limits: z.array(limitNoticeSchema).optional(),
}));
const decodeResponse = createDecoder<FeedResponse>(z.object({
	incarnation: z.string(),
	delta: z.object({
		place: z.number(), isWhole: z.boolean(), entries: z.array(feedEntrySchema), removed: z.array(z.string()),
	}),
	deployment: z.string().optional(),
	word: z.number(),
	ageMs: z.number(),
	leaving: z.array(leavingNoticeSchema),
	limits: z.object({revision: z.number(), notices: z.array(limitNoticeSchema)}).optional(),
	isConfigurationOutdated: z.boolean().optional(),
}));

const CHECK_INTERVAL_MS = 100;
/** Maximum time for which the source holds a request. It responds sooner when the store answers or a server announces that it is leaving. */
const LONG_POLL_MS = 1500;
const RESPONSE_TIMEOUT_MS = 400;

/** Creates the feed and registers its side that serves other daemons. */
export function createFeed(dependencies: FeedDependencies): Feed {
	const {
		mesh, deployment, view, limits, clock, loop, log,
	} = dependencies;
	const feedLog = createFeedLog();
	const failures = createSourceFailureTable();
	const compressor = createDeploymentCompressor();
	let storeFollower: Disposable | undefined;
	let storeAnsweredAt = Number.NEGATIVE_INFINITY;
	let updateCount = 0;
	const wakeWaiters = new Set<() => void>();
	let source: PeerDaemon | undefined;
	let confirmedAt = Number.NEGATIVE_INFINITY;
	let isRequesting = false;
	let received: {readonly name: string; incarnation: string; place: number; word: number; limitRevision: number; entries: Map<string, ServerEntry>} | undefined;

	function startStoreFollower(reason: string): void {
		if (storeFollower === undefined) {
			log.info('follow the store itself', {reason});
			storeFollower = dependencies.followStore();
		}
	}

	function stopStoreFollower(name: string): void {
		if (storeFollower !== undefined) {
			log.info('follow another daemon', {source: name});
			storeFollower.dispose();
			storeFollower = undefined;
		}
	}

	async function waitForUpdate(after: number): Promise<void> {
		if (updateCount > after) {
			return;
		}

		await new Promise<void>(resolve => {
			const finish = () => {
				wakeWaiters.delete(finish);
				timer.dispose();
				resolve();
			};

			const timer = loop.after(LONG_POLL_MS, finish);
			wakeWaiters.add(finish);
		});
	}

	function recordLeaving(notices: readonly LeavingNotice[]): void {
		notices.forEach(notice => {
			view.recordLeaving(notice, clock.monotonic());
		});
	}

	function signalUpdate(): void {
		updateCount += 1;
		[...wakeWaiters].forEach(finish => {
			finish();
		});
	}

	// Sends the notice at once to this daemon's followers, and to its own source without waiting for the response.
	view.onDidStartLeaving(notice => {
		signalUpdate();
		if (storeFollower === undefined && source !== undefined) {
			void mesh.call(source, 'leaving-servers', {leaving: [notice]}, RESPONSE_TIMEOUT_MS).then(response => {
				if (response.isErr()) {
					log.debug('leaving notice not delivered to the feed source', {serverId: notice.serverId, reason: response.error.message});
				}
			});
		}
	});

	function recordLimits(notices: readonly ServerLimitNotice[] = []): void {
		notices.forEach(notice => {
			limits.recordNotice(notice, clock.monotonic());
		});
	}

	// A change is sent at once to the followers. The daemon that received it from the server also sends it to its source and to the other groups.
	limits.onDidChange(({limit, isOwn, isSignificant}) => {
		if (!isSignificant) {
			return;
		}

		signalUpdate();
		const notice = limits.notice(limit.serverId, clock.monotonic());
		if (!isOwn || notice === undefined) {
			return;
		}

		const ownSource = storeFollower === undefined && source !== undefined ? [source] : [];
		[...ownSource, ...listSourcesOfOtherGroups(mesh.self, mesh.others())].forEach(daemon => {
			void mesh.call(daemon, 'server-limits', {limits: [notice]}, RESPONSE_TIMEOUT_MS).then(response => {
				if (response.isErr()) {
					log.debug('request limit not delivered to feed source', {serverId: notice.serverId, peer: daemon.name, reason: response.error.message});
				}
			});
		});
	});

	handleDecoded(mesh, log, 'server-limits', decodeLimits, async notices => {
		recordLimits(notices.limits);
		return {status: 200, body: null};
	});

	handleDecoded(mesh, log, 'leaving-servers', decodeLeaving, async notices => {
		recordLeaving(notices.leaving);
		return {status: 200, body: null};
	});

	handleDecoded(mesh, log, 'feed', decodeRequest, async request => {
		const isKnown = request.incarnation === mesh.self.incarnation;
		recordLeaving(request.leaving);
		recordLimits(request.limits);
		if (storeFollower === undefined) {
			return {status: 410, body: null};
		}

		await waitForUpdate(isKnown ? request.word : -1);
		const current = deployment.current();
		const response: FeedResponse = {
			incarnation: mesh.self.incarnation,
			delta: feedLog.since(isKnown ? request.place : -1),
			deployment: current !== undefined && current.version > request.configuration ? compressor.compress(current) : undefined,
			word: updateCount,
			ageMs: clock.monotonic() - storeAnsweredAt,
			leaving: view.listLeavingNotices(clock.monotonic()),
			limits: limits.since(isKnown ? request.limitRevision ?? 0 : 0, clock.monotonic()),
			isConfigurationOutdated: current !== undefined && deployment.mayBeOutdated(clock.monotonic()),
		};
		return {status: 200, body: response};
	});

	/** Applies the source's configuration, if it sent one. Returns whether this daemon has the source's version now. */
	function applyDeployment(from: PeerDaemon, compressed: string | undefined): boolean {
		if (compressed === undefined) {
			return true;
		}

		const decompressed = decompressDeployment(compressed);
		if (decompressed === undefined) {
			log.warn('configuration of another daemon can not be read', {source: from.name});
			return false;
		}

		// A daemon of an earlier build leaves the organisations out. Taken for a configuration without organisations, it would admit callers without a key.
		if (decompressed.tenancy === undefined) {
			log.info('feed source does not state organisations', {source: from.name, version: decompressed.version});
			return false;
		}

		if (deployment.offer(decompressed)) {
			log.info('configuration in force', {
				version: decompressed.version, source: from.name, routes: decompressed.routes.length, ...(decompressed.tenancy.kind === 'required' && {organisations: decompressed.tenancy.organisations.length}),
			});
		}

		return true;
	}

	/** Whether the source states software versions. Without them, which a daemon of an earlier build leaves out, no stream can be continued. */
	function isComplete(from: PeerDaemon): boolean {
		const isVersioned = [...received?.entries.values() ?? []].every(entry => entry.softwareVersion !== undefined);
		if (!isVersioned) {
			log.info('feed source does not state software versions', {source: from.name});
		}

		return isVersioned;
	}

	/** Applies a response. Returns whether the source can be followed. */
	function applyResponse(from: PeerDaemon, response: FeedResponse): boolean {
		const entryById = received?.name === from.name && received.incarnation === response.incarnation && !response.delta.isWhole ? received.entries : new Map<string, ServerEntry>();
		response.delta.entries.forEach(entry => {
			// A daemon of an earlier build may pass on entries that name no server.
			if (isProcessName(entry.id) && isIpAddress(entry.address) && isPort(entry.port)) {
				entryById.set(entry.id, fromFeedEntry(entry));
			} else {
				log.warn('entry of a backend server can not be used', {name: entry.id, source: from.name, problem: 'the name or the address is not one of a backend server'});
			}
		});
		response.delta.removed.forEach(id => {
			entryById.delete(id);
		});
		received = {
			name: from.name, incarnation: response.incarnation, place: response.delta.place, word: response.word, limitRevision: response.limits?.revision ?? 0, entries: entryById,
		};
		recordLeaving(response.leaving);
		recordLimits(response.limits?.notices);
		const now = clock.monotonic();
		confirmedAt = now - response.ageMs;
		const hasVersion = applyDeployment(from, response.deployment);
		if (!hasVersion) {
			startStoreFollower(`the configuration of ${from.name} can not be used`);
		}

		// Data that is not fresh does not show which servers have been removed since.
		if (isFresh(confirmedAt, now, dependencies.drainMs)) {
			if (hasVersion && response.isConfigurationOutdated !== true) {
				deployment.confirm(confirmedAt);
			}

			view.recordConnectivity(true, now);
			if (isComplete(from)) {
				view.update([...entryById.values()], now);
			}
		}

		return hasVersion && isComplete(from) && response.isConfigurationOutdated !== true && isFresh(confirmedAt, now, dependencies.drainMs);
	}

	async function requestFeed(from: PeerDaemon): Promise<void> {
		isRequesting = true;
		const last = received?.name === from.name ? received : undefined;
		const request: FeedRequest = {
			place: last?.place ?? -1,
			incarnation: last?.incarnation ?? '',
			configuration: deployment.current()?.version ?? -1,
			word: last?.word ?? -1,
			leaving: view.listLeavingNotices(clock.monotonic()),
			limitRevision: last?.limitRevision ?? 0,
			limits: last === undefined ? limits.since(0, clock.monotonic()).notices : [],
		};
		const replied = await mesh.call(from, 'feed', request, LONG_POLL_MS + RESPONSE_TIMEOUT_MS);
		isRequesting = false;
		const now = clock.monotonic();
		if (replied.isErr() || replied.value.status !== 200) {
			log.info('feed source failed', {source: from.name, reason: replied.isErr() ? replied.error.message : `status ${replied.value.status}`});
			failures.recordFailure(from.name, now);
			return;
		}

		const response = decodeResponse(replied.value.body);
		if (response === undefined) {
			log.warn('response of a feed source can not be decoded', {source: from.name});
			failures.recordFailure(from.name, now);
			return;
		}

		if (applyResponse(from, response)) {
			failures.recordSuccess(from.name);
			stopStoreFollower(from.name);
		} else {
			failures.recordFailure(from.name, now);
		}
	}

	function check(now: number): void {
		source = chooseSource(mesh.self, mesh.others(), failures, now);
		if (source === undefined) {
			startStoreFollower('no daemon of the group ranks above this one');
			return;
		}

		if (!isFresh(confirmedAt, now, dependencies.drainMs)) {
			startStoreFollower(`no recent update from ${source.name}`);
		}

		if (!isRequesting) {
			void requestFeed(source);
		}
	}

	const checkTask = loop.every({name: 'feed', periodMs: CHECK_INTERVAL_MS, run: check});
	startStoreFollower('started');
	return {
		recordEntries(entries) {
			feedLog.update(entries);
		},
		recordConnectivity(isConnected, now) {
			if (!isConnected) {
				return;
			}

			storeAnsweredAt = now;
			signalUpdate();
		},
		dispose() {
			checkTask.dispose();
			storeFollower?.dispose();
		},
	};
}
