/** Runs one stand-in as a separate process. Prints one JSON line once it is listening; exits on SIGTERM. */
import process from 'node:process';
import yargs from 'yargs';
import {createEngineStandin} from './engine-standin.js';
import {createScorerStandin} from './scorer-standin.js';
import {createServiceStandin} from './service-standin.js';
import type {Standin} from './standin-server.js';
import {createStoreStandin} from './store-standin.js';
import {createVmListStandin} from './vm-list-standin.js';
import {createWeightStoreStandin} from './weight-store-standin.js';

const factoryByKind: Readonly<Record<string, (options: any) => Standin>> = {
	engine: createEngineStandin,
	scorer: createScorerStandin,
	service: createServiceStandin,
	store: createStoreStandin,
	'vm-list': createVmListStandin,
	'weight-store': createWeightStoreStandin,
};

const argv = await yargs(process.argv.slice(2))
	.option('kind', {choices: Object.keys(factoryByKind), demandOption: true})
	.option('address', {type: 'string', default: '127.0.0.1'})
	.option('port', {type: 'number', demandOption: true})
	.option('options', {type: 'string', default: '{}', describe: 'JSON'})
	.strict()
	.parse();
const createStandin = factoryByKind[argv.kind];
const listening = await createStandin?.(JSON.parse(argv.options)).listen({address: argv.address, port: argv.port});
process.on('SIGTERM', () => {
	process.exit(0);
});
console.log(JSON.stringify({kind: argv.kind, address: listening?.address, port: listening?.port}));
