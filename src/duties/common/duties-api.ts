/** The platform's API for the duties of one daemon: usage reports and orders of servers. The platform's adapter implements it. */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import {createServiceKey} from '../../kernel/common/contribution.js';
import type {Permission} from '../../orders/common/exclusive-actions.js';

/** Number of requests that began to run, by organisation. */
export type OrganisationCounts = Readonly<Record<string, number>>;

/** Who calls, under which fencing number, and until when: a call is not sent later, and one without an answer is given up then. */
export type DutyCaller = Permission & {
	readonly holder: string;
};

/** The usage of one window. */
export type UsageReport = {
	readonly windowId: number;
	readonly counts: OrganisationCounts;
};

/** An order of a number of servers of one pool in one availability zone. */
export type ScaleOrder = {
	readonly pool: string;
	readonly zone: string;
	readonly servers: number;
};

/**
 * The platform's answer: `accepted`; `fenced`, as a call with a higher fencing number was seen; `limited`, as it has too many calls or can't take any;
 * `refused` for any other.
 */
export type DutyOutcome = 'accepted' | 'fenced' | 'limited' | 'refused';

/** The duties API. A call without an answer may still be carried out seconds later. */
export abstract class DutiesApi {
	/** Reports the usage of one window. */
	abstract reportUsage(caller: DutyCaller, report: UsageReport): Promise<Result<DutyOutcome, Failure>>;

	/** Orders servers. */
	abstract orderServers(caller: DutyCaller, order: ScaleOrder): Promise<Result<DutyOutcome, Failure>>;
}

/** What the settings say about the duties. */
export type DutySettings = {
	readonly reportsUsage: boolean;
	readonly scalesPools: boolean;
	/** Maximum number of calls a second. */
	readonly callsPerSecond: number;
	/** Length of a window of usage reports, in milliseconds. */
	readonly windowMs: number;
	/** Time after the end of a window at which its report is due, in milliseconds. */
	readonly reportDueMs: number;
};

/** The duties API with its settings; undefined if the settings have none. */
export type Duties = {
	readonly api: DutiesApi;
	readonly settings: DutySettings;
};

/** Service key of the duties; the service is undefined where the settings have no duties API. */
export const dutiesKey = createServiceKey<Duties | undefined>('duties');
