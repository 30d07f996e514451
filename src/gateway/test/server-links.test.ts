import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createServerLinks} from '../common/server-links.js';

const test = suite('links to servers');

test('the links to a pool are cut when two servers can not be connected to, and sound again after one connection', () => {
	const links = createServerLinks(() => 6);
	const changes: boolean[] = [];
	links.onDidChange(({isCut}) => {
		changes.push(isCut);
	});
	links.recordFailed('p', 's1', 0);
	links.recordFailed('p', 's1', 100);
	assert.not(links.isCut('p'), 'one server that fails again and again says nothing of the others');
	links.recordFailed('p', 's2', 200);
	links.recordFailed('p', 's3', 300);
	assert.ok(links.isCut('p'));
	assert.equal(links.listCut(), ['p']);
	links.recordConnected('p', 400);
	assert.not(links.isCut('p'));
	assert.equal(changes, [true, false]);
});

test('one pool may be cut while another can be reached', () => {
	const links = createServerLinks(() => 3);
	links.recordConnected('other', 0);
	links.recordFailed('p', 's1', 0);
	links.recordFailed('p', 's2', 0);
	assert.ok(links.isCut('p'));
	assert.not(links.isCut('other'));
});

test('a pool of one server is cut when that one fails', () => {
	const links = createServerLinks(() => 1);
	links.recordFailed('p', 's1', 0);
	assert.ok(links.isCut('p'));
});

test('failures far apart are not taken together, and a connection between them neither', () => {
	const links = createServerLinks(() => 6);
	links.recordFailed('p', 's1', 0);
	links.recordFailed('p', 's2', 11_000);
	assert.not(links.isCut('p'));
	links.recordConnected('p', 11_100);
	links.recordFailed('p', 's3', 11_200);
	assert.not(links.isCut('p'));
	assert.not(links.isDoubtful('p', 11_300));
	assert.ok(links.isDoubtful('p', 12_000));
});

test.run();
