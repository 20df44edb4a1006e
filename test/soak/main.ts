/**
Soak test: runs real daemon processes on loopback and injects faults from outside.

`npm run soak -- --seeds 1-50 --seconds 8 --daemons 4`
*/
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {hideBin} from 'yargs/helpers';
import yargs from 'yargs';
import {buildDaemon} from '../fixtures/fleet/daemon-process.ts';
import {runSoak} from './soak.ts';

const millisecondsPerSecond = 1000;
const {seeds, seconds, daemons, crashing, logs} = await yargs(hideBin(process.argv))
	.option('seeds', {type: 'string', default: '1-5', describe: 'Seeds to run: FIRST-LAST or a single seed'})
	.option('seconds', {type: 'number', default: 8, describe: 'Seconds during which faults are injected'})
	.option('daemons', {type: 'number', default: 4, describe: 'Number of daemon processes'})
	.option('crashing', {type: 'boolean', default: false, describe: 'Adds a caller with a request that crashes upstreams'})
	.option('logs', {type: 'string', describe: 'Folder for the faults and logs of runs with violations'})
	.strict()
	.parse();
const [first = 1, last = first] = seeds.split('-').map(Number);
const bundle = buildDaemon();
let failures = 0;
for (let seed = first; seed <= last; seed += 1) {
	const result = await runSoak({
		bundle, seed, daemons, faultPeriodMs: seconds * millisecondsPerSecond, hasCrashingCaller: crashing,
	});
	failures += result.violations.length === 0 ? 0 : 1;
	console.log(`seed ${seed}: ${result.faults.length} faults, ${crashing ? `${result.crashes} crashes, ` : ''}${result.served} of ${result.requests} requests served, ${result.violations.length} violations`);
	for (const line of result.violations) {
		console.log(`  ${line}`);
	}

	if (result.violations.length > 0 && logs !== undefined) {
		writeFileSync(path.join(logs, `soak-${seed}.json`), JSON.stringify(result.faults, undefined, '\t'));
		writeFileSync(path.join(logs, `soak-${seed}.log`), result.logs.join(''));
	}
}

process.exitCode = failures === 0 ? 0 : 1;
