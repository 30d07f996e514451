/** Client for the operator routes of a daemon's HTTP API. */
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {
	createNotRun, createOutcomeUnknown, type Failure, readFailureCode,
} from '../../base/common/failure.js';
import {listsSchema, type Lists, type VersionedLists} from '../../plans/common/lists.js';
import {createHttpClient} from '../../adapters/node/http-client.js';
import type {HttpResponse} from '../../adapters/node/http-exchange.js';

/** Address of the daemon and credentials of the operator. */
export type OperatorAccess = {
	/** Base URL of the daemon's caller port. */
	readonly daemon: string;
	readonly key: string;
};

/** New lists that an operator writes; applied only if version `ifVersion` is still in force. */
export type ListsUpdate = {
	readonly operator: string;
	readonly ifVersion: number;
	readonly lists: Lists;
};

/** Client of the operator API of one daemon. */
export type OperatorClient = {
	readonly readLists: () => Promise<Result<VersionedLists, Failure>>;
	readonly writeLists: (update: ListsUpdate) => Promise<Result<VersionedLists, Failure>>;
	readonly readStatus: () => Promise<Result<Readonly<Record<string, unknown>>, Failure>>;
	readonly readAudit: (sinceMs: number, limit: number) => Promise<Result<readonly AuditLine[], Failure>>;
	readonly drain: () => Promise<Result<void, Failure>>;
};

const versionedLists = z.object({version: z.int().min(0), lists: listsSchema});
const status = z.record(z.string(), z.unknown());
const auditLine = z.looseObject({
	at: z.number(), actor: z.string(), action: z.string(), subject: z.string(), detail: z.string().optional(),
});
const audit = z.object({entries: z.array(auditLine).readonly()});
const problemDetail = z.object({
	type: z.string(),
	detail: z.string().default(''),
	effect: z.enum(['notRun', 'outcomeUnknown']).default('outcomeUnknown'),
	step: z.string().default('handle request'),
	peer: z.string().default('daemon'),
});

/** One entry of the audit trail. */
export type AuditLine = z.output<typeof auditLine>;

/** Timeout of a call to the daemon. */
const RESPONSE_TIMEOUT_MS = 10_000;

function parseBody(response: HttpResponse): unknown {
	try {
		const body: unknown = JSON.parse(new TextDecoder().decode(response.body));
		return body;
	} catch {
		return undefined;
	}
}

function readProblem(response: HttpResponse, step: string, peer: string): Failure {
	const parsed = problemDetail.safeParse(parseBody(response));
	if (!parsed.success) {
		return createOutcomeUnknown('unavailable', {step, peer}, `the daemon responded with status ${response.status} and without a problem detail`);
	}

	const {effect, detail, type} = parsed.data;
	const codeText = type.replace(/^urn:rosemaryshore:/, '');
	const code = readFailureCode(codeText) ?? 'unavailable';
	const createFailure = effect === 'notRun' ? createNotRun : createOutcomeUnknown;
	return createFailure(code, {step: `${step}: ${parsed.data.step}`, peer: parsed.data.peer}, detail);
}

/** Creates a client for the operator API of one daemon. */
export function createOperatorClient(access: OperatorAccess): OperatorClient {
	const http = createHttpClient(access.daemon);
	const headers = {authorization: `Bearer ${access.key}`, 'content-type': 'application/json'};

	async function call<T>(method: string, path: string, schema: z.ZodType<T>, json?: unknown): Promise<Result<T, Failure>> {
		const step = `${method} ${path.replace(/\?.*$/, '')}`;
		const response = await http.call({
			step, method, path, headers, timeoutMs: RESPONSE_TIMEOUT_MS, ...(json !== undefined && {body: JSON.stringify(json)}),
		});
		if (response.isErr()) {
			return err(response.error);
		}

		if (response.value.status < 200 || response.value.status > 299) {
			return err(readProblem(response.value, step, http.peer));
		}

		const parsed = schema.safeParse(parseBody(response.value));
		return parsed.success
			? ok(parsed.data)
			: err(createOutcomeUnknown('incomplete', {step, peer: http.peer}, 'the response body does not have the expected form'));
	}

	return {
		readLists: async () => call('GET', '/v1/configuration', versionedLists),
		writeLists: async update => call('PUT', '/v1/configuration', versionedLists, update),
		readStatus: async () => call('GET', '/v1/status', status),
		async readAudit(sinceMs, limit) {
			const response = await call('GET', `/v1/audit?since=${sinceMs}&limit=${limit}`, audit);
			return response.map(({entries}) => entries);
		},
		async drain() {
			const response = await call('POST', '/v1/drain', z.unknown(), {});
			return response.map(() => undefined);
		},
	};
}
