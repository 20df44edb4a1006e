/**
Runs every library example in its own process; exits with code 1 if an example fails.
*/
import {spawnSync} from 'node:child_process';
import {readdirSync} from 'node:fs';
import process from 'node:process';

const timeoutMs = 30_000;
const names = readdirSync('examples').filter(name => name.endsWith('.ts')).toSorted();
const failed = names.filter(name => {
	console.log(`examples/${name}`);
	const {status} = spawnSync(process.execPath, [`examples/${name}`], {stdio: 'inherit', timeout: timeoutMs});
	return status !== 0;
});
if (failed.length > 0 || names.length === 0) {
	console.error(`${failed.length} of ${names.length} examples failed: ${failed.join(', ')}`);
	process.exitCode = 1;
}
