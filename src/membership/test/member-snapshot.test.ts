import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {chooseIncarnation, parseMemberSnapshot} from '../common/member-snapshot.js';

const test = suite('member snapshot');

test('an incarnation is higher than the last one, also after the wall clock was set back, and an invalid snapshot is read as empty', () => {
	assert.is(chooseIncarnation(1000.7, 0), 1000);
	assert.is(chooseIncarnation(1000, 5000), 5001);
	assert.equal(parseMemberSnapshot('{"incarnation":"x"}'), {incarnation: 0, peers: []});
});

test.run();
