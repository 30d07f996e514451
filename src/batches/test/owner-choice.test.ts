/** Most VMs have a third of a core, a few have two, and all accept batches: the high-capacity VMs must own them. */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	createBatch, createBatchSimulation, completeTextOf, type BatchSimulation,
} from '../../../test/fakes/batch-world.js';
import type {PeerDaemon} from '../../peers/common/peer-mesh.js';
import {createOwnerChoice} from '../common/owner-choice.js';

const test = suite('owners of batches');

function daemon(name: string, capacity: number, region = 'r'): PeerDaemon {
	return {
		name, incarnation: '1', ip: name, port: 1, region, availabilityZone: 'z', capacity,
	};
}

const LOW_CAPACITY = daemon('weak', 0.324);
const OTHERS = [daemon('weak2', 0.324), daemon('strong1', 1.35), daemon('strong2', 1.35), daemon('far', 2, 'far')];
const none = () => 0;

test('a low-capacity VM chooses the high-capacity VM of its region with the fewest open batches', () => {
	const choice = createOwnerChoice();
	const chosen = Array.from({length: 40}, (_, index) => choice.choose(`b${index}`, LOW_CAPACITY, OTHERS, none, 0)?.name);
	assert.equal(new Set(chosen), new Set(['strong1', 'strong2']));
	assert.is(choice.choose('b1', LOW_CAPACITY, OTHERS, name => (name === 'strong1' ? 2 : 0), 0)?.name, 'strong2');
});

test('a high-capacity VM, a VM among equal ones, and a VM that knows no capacities own their batches themselves', () => {
	const choice = createOwnerChoice();
	assert.is(choice.choose('b1', OTHERS[1]!, OTHERS, none, 0), undefined);
	assert.is(choice.choose('b1', LOW_CAPACITY, [OTHERS[0]!], none, 0), undefined);
	const withoutCapacity = OTHERS.map(({capacity: _, ...rest}) => rest);
	assert.is(choice.choose('b1', {...withoutCapacity[0]!, name: 'self'}, withoutCapacity, none, 0), undefined);
});

test('a high-capacity VM that did not take a batch is skipped for 5 s', () => {
	const choice = createOwnerChoice();
	choice.recordFailure('strong1', 0);
	choice.recordFailure('strong2', 0);
	assert.is(choice.choose('b1', LOW_CAPACITY, OTHERS, none, 4999), undefined);
	assert.ok(choice.choose('b1', LOW_CAPACITY, OTHERS, none, 5000));
});

const conditions: ReadonlyArray<{readonly state: string; readonly apply: (world: BatchSimulation) => void}> = [
	{state: 'up', apply: () => undefined},
	{
		state: 'silent', apply(world) {
			world.network.unresponsive.add('d3');
		},
	},
	{
		state: 'killed', apply(world) {
			world.kill('d3');
		},
	},
	{
		state: 'partitioned from the store', apply(world) {
			world.store.partitioned.add('d3');
		},
	},
];

conditions.forEach(({state, apply}) => {
	test(`a batch is accepted once and run completely when the high-capacity VM is ${state}`, async () => {
		const world = createBatchSimulation({daemons: ['d1', 'd2', 'd3'], engines: 2, capacityOf: name => (name === 'd3' ? 2 : 0.3)});
		apply(world);
		const lengths = [10, 20, 30, 40];
		const accepted = await world.finish(world.serviceOf('d1').submit(createBatch('b', lengths), world.time.clock.monotonic() + 5000));
		assert.ok(accepted.isOk());
		assert.is(world.lines.filter(line => line.includes('"own batch"')).map(line => (JSON.parse(line) as {daemon: string}).daemon).join(','), state === 'up' ? 'd3' : 'd1');
		const results = await world.readAll('b', ['d1', 'd2']);
		assert.equal(results.map(result => result.text).toSorted(), lengths.map((events, index) => completeTextOf(`b-${index}`, events)).toSorted());
	});
});

test.run();
