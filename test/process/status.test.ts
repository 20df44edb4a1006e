import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {createLocalDeployment, type LocalDeployment} from '../../src/demo/local-deployment.ts';
import {waitUntilReady} from '../../src/demo/mixed-load.ts';
import {createLog} from '../../src/process/create-log.ts';
import {StatusRegistry} from '../../src/process/status-registry.ts';

describe('the status command', () => {
	let deployment: LocalDeployment;

	beforeAll(async () => {
		deployment = await createLocalDeployment({availabilityZones: ['zone-a'], log: createLog('error', 'hidden')});
		await waitUntilReady(deployment);
	});

	afterAll(async () => {
		await deployment[Symbol.asyncDispose]();
	});

	it('prints all sections together as one JSON object, so that programs can read them', async () => {
		const {code, output} = await runStatus(addressOf(deployment), '--json');
		expect(code).toBe(0);
		expect(JSON.parse(output)).toMatchObject({
			daemon: {id: 'daemon-zone-a-0', phase: 'ready'}, hosts: {members: []}, leases: expect.any(Array) as unknown, refused: [],
		});
	});

	it('prints what is refused and why, so that an operator does not have to guess', async () => {
		const {hosts} = deployment;
		hosts.setHosts(hosts.hosts.map(host => host.kind === 'service' ? {...host, state: 'leaving'} : host));
		const read = async () => {
			const {output} = await runStatus(addressOf(deployment));
			return output;
		};

		await expect.poll(read, {timeout: 10_000}).toContain('what=service orders why=All its upstreams are leaving.');
	});

	it('fails when the daemon does not answer', async () => {
		const {code} = await runStatus('127.0.0.1:1');
		expect(code).toBe(1);
	});
});

describe('a status section', () => {
	it('that fails does not affect the others', () => {
		const registry = new StatusRegistry();
		registry.addSection('broken', () => {
			throw new Error('no state');
		});
		registry.addSection('whole', () => 1);
		expect(registry.read()).toEqual({broken: {error: 'Error: no state'}, whole: 1});
	});
});

function addressOf({daemons}: LocalDeployment): string {
	const {host, port} = daemons[0]!.peerAddress;
	return `${host}:${port}`;
}

async function runStatus(peer: string, ...options: readonly string[]): Promise<{readonly code: number | undefined; readonly output: string}> {
	const child = spawn(process.execPath, ['src/main.ts', 'status', '--peer', peer, ...options], {stdio: ['ignore', 'pipe', 'ignore']});
	const exit = once(child, 'exit');
	const output = await text(child.stdout);
	const [code] = await exit as [number | undefined];
	return {code, output};
}
