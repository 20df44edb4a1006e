/**
Builds `target/wagtailtack-daemon.cjs`: the daemon for the operator's platform as one file, without the parts that only the
command line and the cloud clients need.
*/
import {mkdirSync} from 'node:fs';
import {build} from 'esbuild';

mkdirSync('target', {recursive: true});
await build({
	entryPoints: ['src/fleet-main.ts'],
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	outfile: 'target/wagtailtack-daemon.cjs',
	minifySyntax: true,
	minifyWhitespace: true,
	logLevel: 'error',
});
