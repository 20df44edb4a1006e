import {execFile} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {PlatformServer} from '../../../src/stand-ins/platform/platform-server.ts';

type Run = {readonly code: number; readonly stdout: string; readonly stderr: string};

describe('operators\' commands', () => {
	let platform: PlatformServer;
	let folder: string;
	let url: string;
	let key = '';

	beforeAll(async () => {
		platform = new PlatformServer();
		const {port} = await platform.listen({host: '127.0.0.1', port: 0});
		url = `http://127.0.0.1:${port}`;
		folder = await mkdtemp(join(tmpdir(), 'wagtailtack-'));
		await writeFile(join(folder, 'settings.ini'), `[daemon]\nid = a1\n[platform]\ntable = ${url}\nobjects = ${url}\n`);
		await writeFile(join(folder, 'good.ini'), '[contract]\ncustomer = tuul\nshare = 40\n');
		await writeFile(join(folder, 'bad.ini'), '[contract]\ncustomer = tuul\nshare = 0\n');
		const bootstrap = await run(['key', 'bootstrap', '--operator', 'ana', '--platform', url, '--json']);
		key = (JSON.parse(bootstrap.stdout) as {readonly key: string}).key;
	});

	afterAll(async () => {
		await platform[Symbol.asyncDispose]();
		await rm(folder, {recursive: true});
	});

	async function run(commandLine: readonly string[], operatorKey = key): Promise<Run> {
		const {promise, resolve} = Promise.withResolvers<Run>();
		const child = execFile(process.execPath, ['src/main.ts', ...commandLine], {
			env: {...process.env, WAGTAILTACK_OPERATOR_KEY: operatorKey},
		}, (_error, stdout, stderr) => {
			resolve({code: child.exitCode ?? -1, stdout, stderr});
		});
		return promise;
	}

	it('put a contract with the endpoints of a settings file, first as a dry run, then with a lost answer, and list it', async () => {
		const settings = ['--config', join(folder, 'settings.ini'), '--json'];
		const dry = await run(['contract', 'put', join(folder, 'good.ini'), '--dry-run', ...settings]);
		expect(JSON.parse(dry.stdout)).toMatchObject({customer: 'tuul', version: 0});
		expect(platform.counters.writes).toBe(1);
		platform.setFaults({loseNextWriteAnswers: 1});
		const put = await run(['contract', 'put', join(folder, 'good.ini'), ...settings]);
		expect(JSON.parse(put.stdout)).toMatchObject({customer: 'tuul', version: 2});
		const list = await run(['contract', 'list', ...settings]);
		expect(JSON.parse(list.stdout)).toMatchObject([{version: 2, contract: {customer: 'tuul', share: 40}}]);
	});

	// Guards against a wrong exit code: scripts rely on it and would continue after a failure.
	it.concurrent.each([
		['a faulty file', 1, 'bad.ini:3: key "share": must be a whole number from 1 to 1000000', ['contract', 'check', 'bad.ini']],
		['an unknown operator key', 1, 'refused: the operator key is not known or was revoked', ['contract', 'list', '--platform']],
		['a repeated bootstrap', 1, 'refused: there is an operator key already', ['key', 'bootstrap', '--operator', 'eve', '--platform']],
		['an unknown option', 2, 'Unknown argument: nonsense', ['contract', 'check', 'good.ini', '--nonsense']],
		['no command', 2, 'A contract command is needed.', ['contract']],
	])('end with an exit code and a message on %s', async (name, code, message, commandLine) => {
		const words = commandLine.map(word => (word.endsWith('.ini') ? join(folder, word) : word));
		const operatorKey = name === 'an unknown operator key' ? 'other' : key;
		const result = await run([...words, ...(words.at(-1) === '--platform' ? [url] : [])], operatorKey);
		expect(result.code).toBe(code);
		expect(result.stdout + result.stderr).toContain(message);
	});
});
