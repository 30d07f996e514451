/** Pattern: most VMs have a third of a core and a few have two; batches come in at all of them. */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	createBatch, createBatchWorld, textOf, type BatchWorld,
} from '../../../test/fakes/batch-world.js';
import type {PeerDaemon} from '../../peers/common/peer-mesh.js';
import {createOwnerChoice} from '../common/owner-choice.js';

const test = suite('owners of batches');

function daemon(name: string, capacity: number, region = 'r'): PeerDaemon {
	return {
		name, incarnation: '1', ip: name, port: 1, region, availabilityZone: 'z', capacity,
	};
}

const WEAK = daemon('weak', 0.324);
const OTHERS = [daemon('weak2', 0.324), daemon('strong1', 1.35), daemon('strong2', 1.35), daemon('far', 2, 'far')];
const none = () => 0;

test('a weak VM passes batches to a strong one of its region, the one with the fewest', () => {
	const choice = createOwnerChoice();
	const chosen = Array.from({length: 40}, (_, index) => choice.choose(`b${index}`, WEAK, OTHERS, none, 0)?.name);
	assert.equal(new Set(chosen), new Set(['strong1', 'strong2']));
	assert.is(choice.choose('b1', WEAK, OTHERS, name => (name === 'strong1' ? 2 : 0), 0)?.name, 'strong2');
});

test('a strong VM, one among equals, and one that knows no capacity keep theirs', () => {
	const choice = createOwnerChoice();
	assert.is(choice.choose('b1', OTHERS[1]!, OTHERS, none, 0), undefined);
	assert.is(choice.choose('b1', WEAK, [OTHERS[0]!], none, 0), undefined);
	const silent = OTHERS.map(({capacity: _, ...rest}) => rest);
	assert.is(choice.choose('b1', {...silent[0]!, name: 'self'}, silent, none, 0), undefined);
});

test('a strong VM that did not take a batch is passed over for a while', () => {
	const choice = createOwnerChoice();
	choice.fail('strong1', 0);
	choice.fail('strong2', 0);
	assert.is(choice.choose('b1', WEAK, OTHERS, none, 4999), undefined);
	assert.ok(choice.choose('b1', WEAK, OTHERS, none, 5000));
});

const troubles: ReadonlyArray<{readonly state: string; readonly bring: (world: BatchWorld) => void}> = [
	{state: 'up', bring: () => undefined},
	{
		state: 'silent', bring(world) {
			world.network.silent.add('d3');
		},
	},
	{
		state: 'killed', bring(world) {
			world.kill('d3');
		},
	},
	{
		state: 'cut from the store', bring(world) {
			world.store.cut.add('d3');
		},
	},
];

troubles.forEach(({state, bring}) => {
	test(`a batch is accepted once and run whole when the strong VM is ${state}`, async () => {
		const world = createBatchWorld({daemons: ['d1', 'd2', 'd3'], engines: 2, capacityOf: name => (name === 'd3' ? 2 : 0.3)});
		bring(world);
		const lengths = [10, 20, 30, 40];
		const accepted = await world.finish(world.serviceOf('d1').submit(createBatch('b', lengths), world.time.clock.monotonic() + 5000));
		assert.ok(accepted.isOk());
		assert.is(world.lines.filter(line => line.includes('"own batch"')).map(line => (JSON.parse(line) as {daemon: string}).daemon).join(','), state === 'up' ? 'd3' : 'd1');
		const results = await world.readAll('b', ['d1', 'd2']);
		assert.equal(results.map(result => result.text).toSorted(), lengths.map((events, index) => textOf(`b-${index}`, events)).toSorted());
	});
});

test.run();
