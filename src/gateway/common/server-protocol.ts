/** How daemons and backend servers of a hosted platform talk, in the product's terms. The platform's adapter implements it. */
import type {IncomingHttpHeaders} from 'node:http';
import {createServiceKey} from '../../kernel/common/contribution.js';

/** One attempt at one backend server. */
export type ServerAttempt = {
	readonly requestId: string;
	/** Time that the caller still waits, less the way back. */
	readonly remainingMs: number;
	readonly serverId: string;
	/** Urgency at the server, 0 first; undefined leaves the server's default. */
	readonly urgency?: number;
	/** Last event that is already held, for a stream that goes on. */
	readonly resumeAfter?: string;
};

/** The load that a server states in an answer. */
export type StatedLoad = {
	readonly running: number;
	readonly queued: number;
	readonly slots: number;
};

/** What the head of a server's answer says. */
export type AnswerHead = {
	readonly status: number;
	/** Id of the request that the answer belongs to; undefined when the server does not say. */
	readonly requestId: string | undefined;
	/** The server states that it has not run the request. */
	readonly isNotRun: boolean;
	/** Another server than the expected one has the address. */
	readonly isOtherServer: boolean;
	/** The server states that it is leaving and must get nothing new. */
	readonly isLeaving: boolean;
	readonly load: StatedLoad | undefined;
	/** The server's signature of the answer. */
	readonly signature: string | undefined;
	/** Weight version at the start of a generation. */
	readonly version: number | undefined;
};

/** One event of a generation. */
export type GenerationEvent = {
	readonly id: number;
	readonly data: string;
	/** Weight version from this event on, when it changed. */
	readonly version: number | undefined;
};

/** Splits the bytes of a generation into events. */
export type EventReader = {
	/** Reads a piece; returns what is wrong with the generation, if anything. */
	readonly feed: (piece: Uint8Array) => string | undefined;
};

/** What an engine reports of itself when asked. */
export type EngineReport = {
	readonly versions: ReadonlyMap<string, number>;
	/** An order is being carried out. */
	readonly isBusy: boolean;
	/** Orders accepted since the engine's start. */
	readonly acceptedOrders: number;
	/** Unix time of the engine's start in milliseconds; undefined when it does not say. */
	readonly startedAt: number | undefined;
};

/** An order to serve a weight version. */
export type VersionOrder = {
	readonly model: string;
	readonly version: number;
	/** What happens to runs under way: they go on under the new version, or finish first. */
	readonly runs: 'goOn' | 'finishFirst';
	readonly holder: string;
	readonly fencing: number;
	/** Accepted orders that the engine must have; it refuses the order otherwise. */
	readonly expectedOrders: number | undefined;
};

/** A call to a server in HTTP terms. */
export type ServerCall = {
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body?: string;
};

/** What an engine answered to an order. */
export type OrderOutcome = 'accepted' | 'holds' | 'busy' | 'fenced' | 'refused' | 'otherServer';

/** The protocol to backend servers. */
export abstract class ServerProtocol {
	/** Lower-case names of the callers' headers that `headersOf` replaces. */
	abstract readonly replacedHeaders: readonly string[];

	/** Headers of one attempt beside those that the caller sent. */
	abstract headersOf(attempt: ServerAttempt): Readonly<Record<string, string>>;

	/** Reads the head of an answer. */
	abstract readHead(status: number, headers: IncomingHttpHeaders): AnswerHead;

	/** Creates a reader of a generation; `onEvent` gets each whole event. */
	abstract createEventReader(onEvent: (event: GenerationEvent) => void): EventReader;

	/** Builds the call for an engine's report. */
	abstract reportCall(): ServerCall;

	/** Reads an engine's report; undefined when it can't be read. */
	abstract readReport(body: string): EngineReport | undefined;

	/** Builds the call that gives an order. */
	abstract orderCall(order: VersionOrder, serverId: string): ServerCall;

	/** Reads the outcome of an order from the answer's status. */
	abstract readOrderOutcome(status: number): OrderOutcome;
}

/** The daemon's protocol to backend servers. */
export const serverProtocolKey = createServiceKey<ServerProtocol>('server-protocol');
