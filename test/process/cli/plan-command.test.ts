import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {createLocalDeployment, demoModels, type LocalDeployment} from '../../../src/demo/local-deployment.ts';
import {seedOperatorKey} from '../../../src/demo/seed-configuration.ts';
import {createLog} from '../../../src/process/create-log.ts';

const first = `${demoModels[0]}-zone-a-0`;
const second = `${demoModels[0]}-zone-a-1`;

describe('the plan command', () => {
	let deployment: LocalDeployment;
	let folder: string;

	beforeAll(async () => {
		deployment = await createLocalDeployment({
			availabilityZones: ['zone-a'], daemonsPerZone: 0, enginesPerZone: 2, log: createLog('error', 'hidden'),
		});
		folder = await mkdtemp(path.join(tmpdir(), 'wagtailtack-'));
		await writeFile(path.join(folder, 'operator.ini'), deployment.settingsText('operator', 'zone-a'));
		await writeFile(path.join(folder, 'role.ini'), `[plan]\nname = roles\nauthor = anu\n[step.1]\naction = role\nupstreams = ${first}\nrole = decode\n`);
		await writeFile(path.join(folder, 'drain.ini'), `[plan]\nname = empty\nauthor = bat\n[step.1]\naction = drain\nupstreams = ${first}, ${second}\n`);
	});

	afterAll(async () => {
		await rm(folder, {recursive: true});
		await deployment[Symbol.asyncDispose]();
	});

	it('prints steps and refusals of a dry run and writes nothing, so that an operator sees what would happen', async () => {
		const {code, output} = await run('submit', path.join(folder, 'drain.ini'), '--dry-run', '--json');
		expect(code).toBe(1);
		expect(JSON.parse(output)).toMatchObject({
			isDryRun: true, refusals: [{
				step: 1, line: 4, upstream: second, reason: `it is the last ready replica of ${demoModels[0]} in zone-a`,
			}],
		});
		const plans = await run('list', '--json');
		expect(JSON.parse(plans.output)).toEqual([]);
	});

	it('refuses a conflicting plan and names the other one, and creates no second plan when a submission is repeated', async () => {
		const file = path.join(folder, 'role.ini');
		const submitted = await run('submit', file, '--id', 'p1');
		const [repeated, rival] = await Promise.all([run('submit', file, '--id', 'p1'), run('submit', file, '--id', 'p2')]);
		expect([submitted.code, repeated.code, rival.code]).toEqual([0, 0, 1]);
		expect(rival.errors).toContain(`${first}: plan p1 (roles, anu) holds it`);
		const shown = await run('show', 'p1');
		expect(shown.output).toContain('running, 0 of 1 finished');
		const cancelled = await run('cancel', 'p1');
		expect(cancelled.output).toBe('Plan p1 ("roles" by anu) is cancelled.\n');
	});

	async function run(...argv: readonly string[]) {
		const child = spawn(process.execPath, ['src/main.ts', 'plan', ...argv, '--config', path.join(folder, 'operator.ini')], {
			stdio: ['ignore', 'pipe', 'pipe'], env: {...process.env, WAGTAILTACK_OPERATOR_KEY: seedOperatorKey},
		});
		const [output, errors, [code]] = await Promise.all([text(child.stdout), text(child.stderr), once(child, 'exit') as Promise<[number]>]);
		return {output, errors, code};
	}
});
