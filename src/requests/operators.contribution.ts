/** Registers the operators' routes for the configuration and the audit trail. */
import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {auditKey, type Audit} from '../audit/common/audit.js';
import {createNotRun, type Failure} from '../base/common/failure.js';
import {registerContribution} from '../kernel/common/registry.js';
import {configurationKey, type Configuration} from '../plans/common/configuration.js';
import {checkLists} from '../plans/common/check-lists.js';
import {frontKey, type FrontRequest, type Route} from './common/front.js';
import {sendJson, sendProblem} from './node/respond.js';

const update = z.strictObject({
	operator: z.string().regex(/^[\w@.-]{1,128}$/, 'a name of letters, digits, ".", "@", "_" and "-"'),
	ifVersion: z.int().min(0),
	lists: z.unknown(),
});

/** Number of audit entries in one response: the default and the maximum. */
const DEFAULT_AUDIT_LIMIT = 100;
const MAXIMUM_AUDIT_LIMIT = 10_000;

function parseBody<T>(request: FrontRequest, schema: z.ZodType<T>): Result<T, Failure> {
	const origin = {step: 'read body', peer: 'caller'};
	try {
		const parsed = schema.safeParse(JSON.parse(Buffer.from(request.body).toString('utf8')));
		return parsed.success ? ok(parsed.data) : err(createNotRun('invalid', origin, parsed.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`).join('; ')));
	} catch {
		return err(createNotRun('invalid', origin, 'the body is not JSON'));
	}
}

/** Returns the name that the operator states, followed by the id of the API key used, because the name alone is not authenticated. */
function actorOf(operator: string, request: FrontRequest): string {
	return request.principal.kind === 'operator' ? `${operator} (${request.principal.name})` : operator;
}

function createConfigurationRoutes(configuration: Configuration): readonly Route[] {
	const path = '/v1/configuration';

	async function change(request: FrontRequest) {
		const parsed = parseBody(request, update);
		if (parsed.isErr()) {
			return err(parsed.error);
		}

		const {operator, ifVersion} = parsed.value;
		const checked = checkLists(parsed.value.lists);
		return checked.isErr()
			? err(checked.error)
			: configuration.propose({operator: actorOf(operator, request), ifVersion, lists: checked.value});
	}

	return [
		{
			method: 'GET',
			path,
			access: 'operator',
			async handle(_request, response) {
				sendJson(response, 200, configuration.current());
			},
		},
		{
			method: 'PUT',
			path,
			access: 'operator',
			async handle(request, response) {
				const changed = await change(request);
				changed.match(lists => {
					sendJson(response, 200, lists);
				}, failure => {
					sendProblem(response, failure, request.requestId);
				});
			},
		},
	];
}

function readNumber(text: string, maximum: number): number | undefined {
	const value = Number(text);
	return Number.isSafeInteger(value) && value >= 0 && value <= maximum ? value : undefined;
}

function createAuditRoute(audit: Audit): Route {
	return {
		method: 'GET',
		path: '/v1/audit',
		access: 'operator',
		async handle(request, response) {
			const since = readNumber(request.query.get('since') ?? '0', Number.MAX_SAFE_INTEGER);
			const limit = readNumber(request.query.get('limit') ?? String(DEFAULT_AUDIT_LIMIT), MAXIMUM_AUDIT_LIMIT);
			if (since === undefined || limit === undefined) {
				const origin = {step: 'read audit', peer: 'caller'};
				sendProblem(response, createNotRun('invalid', origin, `since and limit must be whole numbers, limit up to ${MAXIMUM_AUDIT_LIMIT}`), request.requestId);
				return;
			}

			const entries = await audit.read({since, limit});
			entries.match(found => {
				sendJson(response, 200, {entries: found});
			}, failure => {
				sendProblem(response, failure, request.requestId);
			});
		},
	};
}

registerContribution({
	id: 'operators',
	requires: ['requests', 'plans', 'audit'],
	start(context) {
		const front = context.use(frontKey);
		[...createConfigurationRoutes(context.use(configurationKey)), createAuditRoute(context.use(auditKey))].forEach(route => {
			front.register(route);
		});
		return {dispose: () => undefined};
	},
});
