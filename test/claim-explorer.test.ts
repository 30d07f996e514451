import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import type {StoredObject} from '../src/adapters/common/store.js';
import {createClaimTable, type ClaimWrite} from '../src/requests/common/claim-table.js';
import {explore, type Exploration, type Model} from './fakes/explorer.js';

const test = suite('claims of one shard, every interleaving');

const KEY = 'key';
const CLAIMS_PER_OWNER = 2;

/** Small enough that two records fill a generation, so that sealing is explored as well. */
const bounds = {retentionMs: 1000, generationBytes: 220, windowMs: 1000};

type Owner = {
	/** The store's objects as this owner last knew them. */
	readonly known: readonly StoredObject[] | undefined;
	readonly claims: number;
	readonly write: ClaimWrite | undefined;
	/** Version of the write that arrived, 0 for a conflict; undefined while it is under way. */
	readonly answer: number | undefined;
};

type World = {
	readonly objects: readonly StoredObject[];
	readonly version: number;
	readonly owners: readonly Owner[];
	/** Claims that were told to go ahead. */
	readonly granted: readonly string[];
};

function bookOf(owner: Owner) {
	const book = createClaimTable(0, bounds);
	book.load(owner.known ?? []);
	return book;
}

function replaceOwner(world: World, index: number, owner: Partial<Owner>): World {
	return {...world, owners: world.owners.map((known, at) => (at === index ? {...known, ...owner} : known))};
}

function toObject(write: ClaimWrite, version: number): StoredObject {
	return {
		kind: 'claims', name: write.name, version, value: JSON.stringify(write.value), writeId: {writer: '', sequence: ''},
	};
}

function putObject(objects: readonly StoredObject[], object: StoredObject): readonly StoredObject[] {
	return [...objects.filter(other => other.name !== object.name), object];
}

/** An owner claims a key, as far as its own book allows. */
function claim(world: World, index: number, key: string): readonly World[] {
	const owner = world.owners[index]!;
	const request = {
		key, bodyDigest: 'body', claimId: `${index}-${owner.claims}`, runForMs: 1000,
	};
	const book = bookOf(owner);
	if (owner.known === undefined || owner.claims >= CLAIMS_PER_OWNER || book.state(request, 0).kind !== 'free') {
		return [];
	}

	const write = book.prepare([{...request, claimedAt: 0}]);
	return [replaceOwner(world, index, {write, answer: undefined, claims: owner.claims + 1})];
}

function arrive(world: World, index: number, isConditional: boolean): World {
	const write = world.owners[index]!.write!;
	const found = world.objects.find(object => object.name === write.name)?.version ?? 0;
	if (isConditional && found !== write.ifVersion) {
		return replaceOwner(world, index, {answer: 0});
	}

	const version = world.version + 1;
	return replaceOwner({...world, version, objects: putObject(world.objects, toObject(write, version))}, index, {answer: version});
}

function takeAnswer(world: World, index: number): World {
	const {write, answer, known} = world.owners[index]!;
	if (write === undefined || answer === undefined || answer === 0) {
		return replaceOwner(world, index, {write: undefined, known: undefined});
	}

	const granted = write.added.filter(record => record.key === KEY).map(record => record.claimId);
	return replaceOwner({...world, granted: [...world.granted, ...granted]}, index, {write: undefined, known: putObject(known ?? [], toObject(write, answer))});
}

function createModel(ownerCount: number, isConditional: boolean): Model<World> {
	function eventsOf(world: World, index: number) {
		const {write, answer} = world.owners[index]!;
		if (write === undefined) {
			return [
				{event: `${index} loads`, state: replaceOwner(world, index, {known: world.objects})},
				...claim(world, index, KEY).map(state => ({event: `${index} claims the key`, state})),
				...claim(world, index, `other-${index}`).map(state => ({event: `${index} claims another key`, state})),
			];
		}

		return answer === undefined
			? [{event: `write of ${index} arrives`, state: arrive(world, index, isConditional)}]
			: [
				{event: `answer reaches ${index}`, state: takeAnswer(world, index)},
				{event: `answer to ${index} is lost`, state: replaceOwner(world, index, {write: undefined, known: undefined})},
			];
	}

	const owner: Owner = {
		known: undefined, claims: 0, write: undefined, answer: undefined,
	};
	return {
		initial: {
			objects: [], version: 0, owners: Array.from({length: ownerCount}, () => owner), granted: [],
		},
		next: world => world.owners.flatMap((_, index) => eventsOf(world, index)),
		keyOf: world => JSON.stringify(world),
		check: world => (world.granted.length > 1 ? `${world.granted.join(' and ')} were both granted` : undefined),
	};
}

function print(subject: string, found: Exploration): void {
	const end = found.violation ? `; caught: ${found.violation.events.join(', ')}` : '';
	console.log(`${subject}: ${found.states} states, ${found.transitions} transitions${end}`);
}

test('two owners at once, 18 events: a key is granted at most once', () => {
	const found = explore(createModel(2, true), 18);
	print('two owners', found);
	assert.is(found.violation, undefined);
});

test('three owners at once, 13 events: a key is granted at most once', () => {
	const found = explore(createModel(3, true), 13);
	print('three owners', found);
	assert.is(found.violation, undefined);
});

test('without the condition of the write, two grants are caught', () => {
	const found = explore(createModel(2, false), 18);
	print('unconditional', found);
	assert.ok(found.violation);
});

test.run();
