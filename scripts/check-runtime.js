/*
Ends an install with one line if Node.js for this system and processor is not there. JavaScript, because an older Node.js
that cannot run TypeScript may be the one that is found. Usage: check-runtime.js [SYSTEM PROCESSOR VERSION]
*/
import process from 'node:process';

const oldestMajorVersion = 24;
const processors = ['arm64', 'x64'];
const [system = process.platform, processor = process.arch, version = process.versions.node] = process.argv.slice(2);

const problem = findProblem();
if (problem !== undefined) {
	console.error(`wagtailtack: ${problem}`);
	process.exitCode = 1;
}

function findProblem() {
	if (system !== 'linux' || !processors.includes(processor)) {
		return `no Node.js ${oldestMajorVersion} is packaged for ${system} on ${processor}, only for linux on ${processors.join(' and ')}`;
	}

	if (Number.parseInt(version, 10) < oldestMajorVersion) {
		return `the package node-linux-${processor} is not installed, and Node.js ${version} is older than ${oldestMajorVersion} (was npm ci run with --omit=optional?)`;
	}

	return undefined;
}
