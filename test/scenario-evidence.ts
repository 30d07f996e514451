/** Keeps what explains a failed scenario: the status and the log of each process. */
import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {callMember, operatorKey, type World} from './scenario-world.js';

const FOLDER = path.resolve(import.meta.dirname, '../target/scenario-failures');

async function readStatus(world: World, name: string): Promise<unknown> {
	try {
		return await callMember(world.members.get(name)!, name.startsWith('entry-') ? 'GET /v1/status' : 'GET /record', undefined, operatorKey);
	} catch (error) {
		return {unreachable: String(error)};
	}
}

/** Writes the evidence into a new folder and returns its path. */
export async function keepEvidence(scenario: string, world: World): Promise<string> {
	const folder = path.join(FOLDER, `${scenario.replaceAll(/[^a-z\d]+/gi, '-').slice(0, 60)}-${process.pid}-${Date.now()}`);
	mkdirSync(folder, {recursive: true});
	await Promise.all([...world.members].map(async ([name, member]) => {
		const status = await readStatus(world, name);
		writeFileSync(path.join(folder, `${name}.status.json`), JSON.stringify(status, undefined, '\t'));
		writeFileSync(path.join(folder, `${name}.log`), member.log());
	}));
	return folder;
}
