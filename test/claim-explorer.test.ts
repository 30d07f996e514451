import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import type {StoredObject} from '../src/adapters/common/store.js';
import {createClaimTable, type ClaimWrite} from '../src/requests/common/claim-table.js';
import {explore, type Exploration, type Model} from './fakes/explorer.js';

const test = suite('claims of one shard in every order of events');

const KEY = 'key';
const CLAIMS_PER_OWNER = 2;

/** `generationBytes` is so small that two records fill a generation, so that sealing is explored as well. */
const bounds = {retentionMs: 1000, generationBytes: 220, windowMs: 1000};

type Owner = {
	/** The objects of the store as this owner last read or wrote them; undefined until it has loaded them. */
	readonly known: readonly StoredObject[] | undefined;
	readonly claims: number;
	readonly write: ClaimWrite | undefined;
	/** Version that the store gave the write, 0 for a conflict; undefined until the write has arrived. */
	readonly answer: number | undefined;
};

type World = {
	readonly objects: readonly StoredObject[];
	readonly version: number;
	readonly owners: readonly Owner[];
	/** Ids of the claims of `KEY` whose owner learnt that its write was accepted, so that it starts their run. */
	readonly granted: readonly string[];
};

function createTable(owner: Owner) {
	const table = createClaimTable(0, bounds);
	table.load(owner.known ?? []);
	return table;
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

/** Lets an owner claim a key, unless its own table shows the key as claimed. Returns the resulting states. */
function claim(world: World, index: number, key: string): readonly World[] {
	const owner = world.owners[index]!;
	const request = {
		key, bodyDigest: 'body', claimId: `${index}-${owner.claims}`, runForMs: 1000,
	};
	const table = createTable(owner);
	if (owner.known === undefined || owner.claims >= CLAIMS_PER_OWNER || table.state(request, 0).kind !== 'free') {
		return [];
	}

	const write = table.prepare([{...request, claimedAt: 0}]);
	return [replaceOwner(world, index, {write, answer: undefined, claims: owner.claims + 1})];
}

function applyWrite(world: World, index: number, isConditional: boolean): World {
	const write = world.owners[index]!.write!;
	const found = world.objects.find(object => object.name === write.name)?.version ?? 0;
	if (isConditional && found !== write.ifVersion) {
		return replaceOwner(world, index, {answer: 0});
	}

	const version = world.version + 1;
	return replaceOwner({...world, version, objects: putObject(world.objects, toObject(write, version))}, index, {answer: version});
}

function receiveAnswer(world: World, index: number): World {
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
			? [{event: `write of ${index} arrives`, state: applyWrite(world, index, isConditional)}]
			: [
				{event: `answer reaches ${index}`, state: receiveAnswer(world, index)},
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

function printExploration(subject: string, found: Exploration): void {
	const end = found.violation ? `; caught: ${found.violation.events.join(', ')}` : '';
	console.log(`${subject}: ${found.states} states, ${found.transitions} transitions${end}`);
}

test('two concurrent owners: a key is granted at most once, in every order of 18 events', () => {
	const found = explore(createModel(2, true), 18);
	printExploration('two owners', found);
	assert.is(found.violation, undefined);
});

test('three concurrent owners: a key is granted at most once, in every order of 13 events', () => {
	const found = explore(createModel(3, true), 13);
	printExploration('three owners', found);
	assert.is(found.violation, undefined);
});

test('with unconditional writes, the exploration finds a key that is granted twice', () => {
	const found = explore(createModel(2, false), 18);
	printExploration('unconditional', found);
	assert.ok(found.violation);
});

test.run();
