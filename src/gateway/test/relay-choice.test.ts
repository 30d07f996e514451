import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import type {PeerDaemon} from '../../peers/common/peer-mesh.js';
import {createRelayChoice} from '../common/relay-choice.js';

const test = suite('choice of daemons that relay');
const daemon = (name: string, availabilityZone: string, region = 'r'): PeerDaemon => ({
	name, incarnation: '1', ip: name, port: 1, region, availabilityZone,
});
const self = daemon('self', 'a');
const others = [daemon('far', 'c', 'other'), daemon('near', 'b'), daemon('same', 'a')];
const names = (list: readonly PeerDaemon[]) => list.map(({name}) => name);

test('near daemons are asked first, until they have more attempts than farther ones', () => {
	const choice = createRelayChoice(self, () => 0);
	assert.equal(names(choice.list('p', others, 0)), ['same', 'near', 'far']);
	const ends = Array.from({length: 5}, () => choice.begin('same'));
	assert.equal(names(choice.list('p', others, 0)), ['near', 'same', 'far']);
	ends.forEach(end => {
		end();
	});
	assert.equal(names(choice.list('p', others, 0)), ['same', 'near', 'far']);
});

test('a daemon that is cut off from one pool is not asked for it for a while, but for others', () => {
	const choice = createRelayChoice(self, () => 0);
	choice.recordRefusal('p', 'same', 'cut', 0);
	assert.equal(names(choice.list('p', others, 1000)), ['near', 'far']);
	assert.equal(names(choice.list('other', others, 1000)), ['same', 'near', 'far']);
	assert.equal(names(choice.list('p', others, 2000)), ['same', 'near', 'far']);
});

test.run();
