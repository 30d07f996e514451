/** Sends attempts to backend servers for other daemons, as far as this daemon reaches the servers itself. */
import {err, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import {
	computeElapsedMs, readClocks, type Clock, type ClockReading,
} from '../../base/common/clock.js';
import {createTaskSet} from '../../base/common/task-set.js';
import type {Log} from '../../kernel/common/log.js';
import type {BackendServer} from '../../routing/common/router.js';
import type {
	RelayCall, RelayedHead, RelayEnd, RelayRefusal, RelaySink,
} from '../common/relay.js';
import type {ServerLinks} from '../common/server-links.js';
import type {ServerCaller} from './server-caller.js';

/** The serving side of relays. */
export type RelayHelper = {
	/** Whether this daemon would refuse an attempt at the server now, and why. */
	readonly findRefusal: (serverId: string) => RelayRefusal | undefined;
	/** Sends an attempt, whose call arrived at `receivedAt`, over this daemon's own links, and never over another daemon. */
	readonly relay: (call: RelayCall, receivedAt: ClockReading, sink: RelaySink, signal: AbortSignal) => Promise<RelayEnd>;
	/** Refuses further attempts; resolves when none is in progress. */
	readonly drain: () => Promise<void>;
};

/** Dependencies of the helper. */
export type RelayHelperDependencies = {
	/** Sends attempts over the daemon's own links. */
	readonly direct: Pick<ServerCaller, 'attempt'>;
	readonly links: Pick<ServerLinks, 'isCut'>;
	/** A server that may get requests, as this daemon knows it. */
	readonly findServer: (serverId: string) => BackendServer | undefined;
	/** Whether this daemon has heard from the store lately. */
	readonly reachesStore: () => boolean;
	readonly clock: Clock;
	readonly log: Log;
};

/** Maximum number of attempts that one daemon relays at a time, so that the daemons that still reach the servers keep room for their own callers. */
const MAXIMUM_RELAYED = 160;
/** Time limit for connecting to a server for another daemon, in milliseconds. */
const CONNECT_TIMEOUT_MS = 300;

function toHead(status: number, headers: Readonly<Record<string, string | readonly string[] | undefined>>): RelayedHead {
	return {status, headers: Object.fromEntries(Object.entries(headers).flatMap(([name, value]) => (value === undefined ? [] : [[name, value]])))};
}

/** Creates the helper. */
export function createRelayHelper({
	direct, links, findServer, reachesStore, clock, log,
}: RelayHelperDependencies): RelayHelper {
	let relayed = 0;
	let isDraining = false;
	const inProgress = createTaskSet();

	function findRefusal(serverId: string): RelayRefusal | undefined {
		const server = findServer(serverId);
		if (server !== undefined && links.isCut(server.pool)) {
			return 'cut';
		}

		return isDraining || relayed >= MAXIMUM_RELAYED ? 'busy' : undefined;
	}

	/** Whether an attempt may still begin. The asking daemon's knowledge of the work ages by the clocks of this one, which may have paused. */
	function mayBegin({work}: RelayCall, receivedAt: ClockReading): boolean {
		return work?.kind === 'confirmed' ? computeElapsedMs(receivedAt, readClocks(clock)) <= work.beginWithinMs : (work === undefined || !reachesStore());
	}

	async function send(call: RelayCall, receivedAt: ClockReading, server: BackendServer, sink: RelaySink, signal: AbortSignal): Promise<Result<void, Failure>> {
		let hasHead = false;
		const problems: string[] = [];
		const abort = new AbortController();
		const onAbort = () => {
			abort.abort();
		};

		signal.addEventListener('abort', onAbort, {once: true});
		if (signal.aborted) {
			onAbort();
		}

		const passOn = (problem: string | undefined) => {
			if (problem !== undefined) {
				problems.push(problem);
				abort.abort();
			}
		};

		const answered = await direct.attempt(server, call, call.attempt, {
			timeoutMs: call.timeoutMs,
			usesNewConnection: call.usesNewConnection === true,
			connectTimeoutMs: Math.min(CONNECT_TIMEOUT_MS, call.timeoutMs),
			signal: abort.signal,
			maySend: () => mayBegin(call, receivedAt),
			onHead(head, headers) {
				if (head.status !== 200) {
					return undefined;
				}

				hasHead = true;
				const problem = sink.onHead(toHead(head.status, headers));
				passOn(problem);
				return problem;
			},
			onData(chunk) {
				const problem = sink.onData(chunk);
				passOn(problem);
				return problem;
			},
		});
		signal.removeEventListener('abort', onAbort);
		return answered.map(({status, headers, body}) => {
			if (!hasHead) {
				sink.onHead(toHead(status, headers));
				sink.onData(body);
			}

			return undefined;
		});
	}

	async function relay(call: RelayCall, receivedAt: ClockReading, sink: RelaySink, signal: AbortSignal): Promise<RelayEnd> {
		const server = findServer(call.server.id);
		const isSame = server?.address === call.server.address && server.port === call.server.port;
		relayed += 1;
		const result = server !== undefined && isSame
			? await send(call, receivedAt, server, sink, signal)
			: err(createNotRun('rejected', {step: 'relay attempt', peer: call.server.id}, 'this daemon does not know the server, or knows that it is leaving'));
		relayed -= 1;
		if (result.isErr() && result.error.effect === 'notRun' && server !== undefined && links.isCut(server.pool)) {
			return {kind: 'refused', reason: 'cut'};
		}

		log.debug('attempt relayed', {requestId: call.attempt.requestId, serverId: call.server.id, ...result.match(() => ({}), failure => ({reason: failure.message, effect: failure.effect}))});
		return {kind: 'ended', result};
	}

	return {
		findRefusal,
		async relay(call, receivedAt, sink, signal) {
			const refusal = call.work?.kind === 'unconfirmed' && reachesStore() ? 'unconfirmed' : findRefusal(call.server.id);
			return refusal === undefined ? inProgress.run(async () => relay(call, receivedAt, sink, signal)) : {kind: 'refused', reason: refusal};
		},
		async drain() {
			isDraining = true;
			await inProgress.whenIdle();
		},
	};
}
