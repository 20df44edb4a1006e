/**
Builds the daemon for the operator's platform into one file, by default `target/wagtailtack-daemon.cjs`, without the code
that only the command line and the cloud clients need.
*/
import {mkdirSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';
import {cheapAssertions} from './bundle/cheap-assertions.ts';

const outfile = process.argv[2] ?? 'target/wagtailtack-daemon.cjs';

mkdirSync(path.dirname(outfile), {recursive: true});
await build({
	entryPoints: ['src/fleet-main.ts'],
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	outfile,
	minifySyntax: true,
	minifyWhitespace: true,
	plugins: [cheapAssertions],
	logLevel: 'error',
});
