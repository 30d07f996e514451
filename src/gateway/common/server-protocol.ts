/** Protocol between daemons and the backend servers of a hosted platform, independent of its encoding. The platform's adapter implements it. */
import type {IncomingHttpHeaders} from 'node:http';
import {createServiceKey} from '../../kernel/common/contribution.js';

/** One attempt at one backend server. */
export type ServerAttempt = {
	readonly requestId: string;
	/** Time until the caller's deadline, less a margin for returning the response, in milliseconds. */
	readonly remainingMs: number;
	readonly serverId: string;
	/** Urgency at the server, 0 is the most urgent; undefined leaves the server's default. */
	readonly urgency?: number;
	/** Id of the last event already received, when a stream is resumed. */
	readonly resumeAfter?: string;
};

/** The load that a server reports in a response. */
export type ReportedLoad = {
	readonly running: number;
	readonly queued: number;
	readonly slots: number;
	/** How long work takes on the server's machine now, in percent of the usual time; undefined when the server does not state it. */
	readonly workTimePercent?: number | undefined;
};

/** The decoded status and headers of a server's response. */
export type ResponseHead = {
	readonly status: number;
	/** Id of the request that the response belongs to; undefined when the server does not state it. */
	readonly requestId: string | undefined;
	/** The server states that it has not run the request. */
	readonly isNotRun: boolean;
	/** A server other than the expected one uses the address now. */
	readonly isOtherServer: boolean;
	/** The server states that it is leaving and must not get new requests. */
	readonly isLeaving: boolean;
	/** Requests a second that the server takes from all daemons together; undefined when it states no limit. */
	readonly limitPerSecond: number | undefined;
	readonly load: ReportedLoad | undefined;
	/** The server's signature of the response. */
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
	/** Reads a chunk; returns a description of the error if the generation is malformed. */
	readonly feed: (chunk: Uint8Array) => string | undefined;
};

/** An engine's report on itself. */
export type EngineReport = {
	readonly versions: ReadonlyMap<string, number>;
	/** Whether the engine is carrying out an order. */
	readonly isBusy: boolean;
	/** Orders accepted since the engine's start. */
	readonly acceptedOrders: number;
	/** Unix time of the engine's start in milliseconds; undefined when the engine does not report it. */
	readonly startedAt: number | undefined;
};

/** An order to serve a weight version. */
export type VersionOrder = {
	readonly model: string;
	readonly version: number;
	/** What happens to generations in progress: they continue under the new version, or finish before the engine changes version. */
	readonly runs: 'goOn' | 'finishFirst';
	readonly holder: string;
	readonly fencing: number;
	/** The engine refuses the order unless it has accepted exactly this many orders; undefined skips this check. */
	readonly expectedOrders: number | undefined;
};

/** An HTTP request to a server. */
export type ServerCall = {
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body?: string;
};

/** An engine's response to an order. */
export type OrderOutcome = 'accepted' | 'holds' | 'busy' | 'fenced' | 'refused' | 'otherServer';

/** The protocol to backend servers. */
export abstract class ServerProtocol {
	/** Lower-case names of the callers' headers that `buildHeaders` replaces. */
	abstract readonly replacedHeaders: readonly string[];

	/** Lower-case names of the headers that state who calls. Servers never get them from a caller where organisations have keys. */
	abstract readonly credentialHeaders: readonly string[];

	/** Builds the headers that tell a server the organisation of a request. */
	abstract buildOrganisationHeaders(organisation: string): Readonly<Record<string, string>>;

	/** Builds the headers that one attempt adds to the caller's headers. */
	abstract buildHeaders(attempt: ServerAttempt): Readonly<Record<string, string>>;

	/** Decodes the status and headers of a response. */
	abstract readHead(status: number, headers: IncomingHttpHeaders): ResponseHead;

	/** Creates a reader of a generation; `onEvent` receives each complete event. */
	abstract createEventReader(onEvent: (event: GenerationEvent) => void): EventReader;

	/** Builds the call that requests an engine's report. */
	abstract buildReportCall(): ServerCall;

	/** Decodes an engine's report; undefined when it is malformed. */
	abstract readReport(body: string): EngineReport | undefined;

	/** Builds the call that gives an order. */
	abstract buildOrderCall(order: VersionOrder, serverId: string): ServerCall;

	/** Derives the outcome of an order from the response status. */
	abstract readOrderOutcome(status: number): OrderOutcome;
}

/** Service key of the daemon's protocol to backend servers. */
export const serverProtocolKey = createServiceKey<ServerProtocol>('server-protocol');
