/**
Soak test: runs real daemon processes on loopback and injects faults from outside.

`npm run soak -- --seeds 1-50 --seconds 8 --daemons 4`
*/
import process from 'node:process';
import {hideBin} from 'yargs/helpers';
import yargs from 'yargs';
import {buildDaemon} from '../fixtures/fleet/daemon-process.ts';
import {runSoak} from './soak.ts';

const millisecondsPerSecond = 1000;
const {seeds, seconds, daemons, crashing, failures, changes, held, evidence} = await yargs(hideBin(process.argv))
	.option('seeds', {type: 'string', default: '1-5', describe: 'Seeds to run: FIRST-LAST or a single seed'})
	.option('seconds', {type: 'number', default: 8, describe: 'Seconds during which faults are injected'})
	.option('daemons', {type: 'number', default: 4, describe: 'Number of daemon processes'})
	.option('crashing', {type: 'boolean', default: false, describe: 'Adds a caller with a request that crashes upstreams'})
	.option('failures', {type: 'boolean', default: true, describe: 'Kills, failing stores and links, broken answers'})
	.option('changes', {type: 'boolean', default: true, describe: 'Configurations in series, standing upstreams, odd entries, planned stops, slow callers'})
	.option('held', {type: 'boolean', default: false, describe: 'Pauses the daemons for 70 of each 100 ms in seeds with an even number'})
	.option('evidence', {type: 'string', default: 'target/soak', describe: 'Folder for the evidence of violations, at most 32 MiB'})
	.strict()
	.parse();
const [first = 1, last = first] = seeds.split('-').map(Number);
const bundle = buildDaemon();
let failedSeeds = 0;
for (let seed = first; seed <= last; seed += 1) {
	const isHeld = held && seed % 2 === 0;
	const result = await runSoak({
		bundle, seed, daemons, faultPeriodMs: seconds * millisecondsPerSecond, hasCrashingCaller: crashing, isHeld, groups: {hasFailures: failures, hasChanges: changes}, evidenceFolder: evidence,
	});
	failedSeeds += result.violations.length === 0 ? 0 : 1;
	const crashes = crashing ? `${result.crashes} crashes, ` : '';
	console.log(`seed ${seed}${isHeld ? ' (held)' : ''}: ${result.faults.length} faults, ${crashes}${result.served} of ${result.requests} requests served, ${result.violations.length} violations`);
	for (const line of result.violations) {
		console.log(`  ${line}`);
	}

	for (const line of result.account) {
		console.log(`  account: ${line}`);
	}

	if (result.evidence !== undefined) {
		console.log(`  evidence: ${result.evidence}`);
	}
}

process.exitCode = failedSeeds === 0 ? 0 : 1;
