import {Agent} from 'node:http';
import {createServer, type AddressInfo} from 'node:net';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {exchange, type Exchange, type HttpCall} from '../node/http-exchange.js';

const test = suite('odd heads of responses');
const HEAD = 'HTTP/1.1 200 OK\r\nX-Load: 1,0,8\r\nContent-Length: 2\r\n\r\nok';

async function receive(answer: string, call: Partial<HttpCall> = {}): Promise<Exchange> {
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.end(answer, 'latin1');
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const agent = new Agent({keepAlive: false});
	// A listening TCP server has an address with a port.

	const {port} = server.address() as AddressInfo;
	const ended = await exchange({
		step: 'call', method: 'GET', path: '/', timeoutMs: 1000, ...call,
	}, {base: new URL(`http://127.0.0.1:${port}`), agent});
	agent.destroy();
	server.close();
	return ended;
}

const oddHeads: ReadonlyArray<readonly [string, string]> = [
	['a space in the name of a header', HEAD.replace('X-Load', 'X Load')],
	['a space behind the name of a header', HEAD.replace('Load:', 'Load :')],
	['the status 000', HEAD.replace('200', '000')],
	['the status 000 and no reason', HEAD.replace('200 OK', '000')],
	['a status below 100', HEAD.replace('200', '099')],
	['a status above 599', HEAD.replace('200', '999')],
];

// Issue 37, review/2: Node.js takes such a head from a server and throws when it is written to a caller, which ended the daemon.
oddHeads.forEach(([name, answer]) => {
	test(`a response with ${name} is incomplete, and its head is given to nobody`, async () => {
		const heads: number[] = [];
		const {result} = await receive(answer, {
			onHead(status) {
				heads.push(status);
				return undefined;
			},
		});
		assert.equal(result.match(() => 'ok', ({effect}) => effect), 'outcomeUnknown');
		assert.equal(heads, []);
	});
});

test('what a listener of the head or of the body throws ends this call as incomplete', async () => {
	const throwError = (): string => {
		throw new Error('odd');
	};

	const ends = await Promise.all([receive(HEAD, {onHead: throwError}), receive(HEAD, {onData: throwError})]);
	ends.forEach(({result}) => {
		assert.equal(result.match(() => 'ok', ({code, message}) => `${code} ${message}`), 'incomplete the response can\'t be handled: Error: odd');
	});
});

/** Each byte of the head, one after the other, becomes another one. */
test('a call ends with a result whichever byte of a head is wrong', async () => {
	const end = HEAD.indexOf('\r\n\r\n');
	const answers = Array.from({length: end}, (_, index) => [' ', '\u0000', '\u00FF', ':', '\n'].map(byte => `${HEAD.slice(0, index)}${byte}${HEAD.slice(index + 1)}`)).flat();
	await answers.reduce(async (previous, answer) => {
		await previous;
		const {result} = await receive(answer, {
			timeoutMs: 300, onHead: () => undefined, onData: () => undefined,
		});
		assert.ok(result.isOk() || result.error.effect === 'outcomeUnknown', JSON.stringify(answer));
	}, Promise.resolve());
});

test.run();
