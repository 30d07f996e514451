import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {isIpAddress, isPort} from '../common/address.js';

const test = suite('addresses');

test('only IPv4 addresses in dotted decimal form are addresses', () => {
	['10.0.0.1', '127.0.0.1', '255.255.255.255', '1.2.3.4'].forEach(text => {
		assert.ok(isIpAddress(text), text);
	});
	['', '10.0.0', '10.0.0.1.', '10.0.0.256', '10.0.0.01', '0.0.0.0', '1.2.3.4.5', 'localhost', '::1', '10.0.0.1\n', ' 10.0.0.1'].forEach(text => {
		assert.not(isIpAddress(text), JSON.stringify(text));
	});
});

test('ports are whole numbers from 1 to 65535', () => {
	[1, 80, 65_535].forEach(port => {
		assert.ok(isPort(port));
	});
	[0, -1, 65_536, 1.5, Number.NaN, Number.POSITIVE_INFINITY].forEach(port => {
		assert.not(isPort(port), String(port));
	});
});

test.run();
