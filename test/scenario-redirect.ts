/** Preloaded into the daemons of scenarios that cut links. Sends each outgoing connection through the relay of the scenario runner. */
import {Agent, type ClientRequestArgs} from 'node:http';
import {connect, type Socket} from 'node:net';
import process from 'node:process';

const relayPort = Number(process.env.SCENARIO_RELAY_PORT);
const self = process.env.SCENARIO_MEMBER;

Object.assign(Agent.prototype, {
	createConnection({host, port}: ClientRequestArgs): Socket {
		const socket = connect(relayPort, '127.0.0.1');
		socket.write(`${self} ${host}:${port}\n`);
		return socket;
	},
	// Each request opens its own connection, because servers would close idle connections while their link is cut.
	keepSocketAlive: () => false,
});
