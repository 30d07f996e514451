/** Stand-in for the platform's object store. */
import {z} from 'zod';
import {createMemoryStore} from '../../adapters/common/memory-store.js';
import type {Failure} from '../../base/common/failure.js';
import type {ObjectKind, StoredObject} from '../../adapters/common/store.js';
import {
	createStandin, type Reply, type Standin, type StandinRequest,
} from './standin-server.js';

const objectKind = z.enum(['config', 'lease', 'claims', 'grants', 'ledger', 'weights', 'suspects', 'audit', 'status']);
const writeBody = z.object({value: z.string(), ifVersion: z.int(), writeId: z.object({writer: z.string(), sequence: z.string()})});
const WATCH_TIMEOUT_MS = 10_000;

function createFailureReply(failure: Failure): Reply {
	return {status: failure.code === 'conflict' ? 409 : 413, json: {code: failure.code, message: failure.message}};
}

/** Creates a stand-in for the object store, without objects. */
export function createStoreStandin(): Standin {
	const memory = createMemoryStore();
	const store = memory.open();
	const writes: Array<Omit<StoredObject, 'value'>> = [];
	const changeListeners = new Set<() => void>();
	let lastVersion = 0;

	function changesAfter(kind: ObjectKind, after: number): readonly StoredObject[] {
		return memory.objects().filter(object => object.kind === kind && object.version > after);
	}

	async function waitForChange(kind: ObjectKind, after: number): Promise<void> {
		if (changesAfter(kind, after).length > 0) {
			return;
		}

		await new Promise<void>(resolve => {
			const finish = () => {
				clearTimeout(timer);
				changeListeners.delete(finishIfChanged);
				resolve();
			};

			const finishIfChanged = () => {
				if (changesAfter(kind, after).length > 0) {
					finish();
				}
			};

			const timer = setTimeout(finish, WATCH_TIMEOUT_MS).unref();
			changeListeners.add(finishIfChanged);
		});
	}

	async function watch(kind: ObjectKind, after: string | undefined): Promise<Reply> {
		if (after === undefined) {
			return {json: {version: lastVersion, objects: []}};
		}

		await waitForChange(kind, Number(after));
		return {json: {version: lastVersion, objects: standin.faults().watchGap ? [] : changesAfter(kind, Number(after))}};
	}

	async function write(kind: ObjectKind, name: string, body: string): Promise<Reply> {
		const written = await store.write({kind, name, ...writeBody.parse(JSON.parse(body))});
		return written.match((object): Reply => {
			const {value, ...entry} = object;
			lastVersion = object.version;
			writes.push(entry);
			[...changeListeners].forEach(listener => {
				listener();
			});
			return {json: object};
		}, createFailureReply);
	}

	async function handleObject(request: StandinRequest, kind: ObjectKind, name: string): Promise<Reply> {
		if (request.raw.method === 'PUT') {
			return write(kind, name, request.body);
		}

		if (request.raw.method === 'DELETE') {
			const removed = await store.remove({kind, name, ifVersion: Number(request.query.get('ifVersion'))});
			return removed.match((): Reply => ({json: {}}), createFailureReply);
		}

		const read = await store.read({kind, name});
		const found = read._unsafeUnwrap();
		return found ? {json: found} : {status: 404, json: {code: 'notFound'}};
	}

	const standin = createStandin({
		record: () => ({calls: memory.calls(), writes, objects: memory.objects()}),
		async handle(request) {
			const [collection, kindText, name] = request.pathSegments;
			const kind = objectKind.parse(kindText);
			if (collection === 'watch') {
				return watch(kind, request.query.get('after') ?? undefined);
			}

			if (name !== undefined) {
				return handleObject(request, kind, name);
			}

			const listed = await store.list(kind, request.query.get('prefix') ?? '');
			return {json: {objects: listed._unsafeUnwrap()}};
		},
	});
	return standin;
}
