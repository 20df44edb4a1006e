/**
Builds the daemon for the operator's platform into one file, by default `target/wagtailtack-daemon.cjs`, without the code
that only the command line and the cloud clients need.
*/
import {mkdirSync, renameSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';
import {cheapAssertions} from './bundle/cheap-assertions.ts';

const outfile = process.argv[2] ?? 'target/wagtailtack-daemon.cjs';

mkdirSync(path.dirname(outfile), {recursive: true});
const {outputFiles: [bundle]} = await build({
	entryPoints: ['src/fleet-main.ts'],
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	outfile,
	write: false,
	minifySyntax: true,
	minifyWhitespace: true,
	plugins: [cheapAssertions],
	logLevel: 'error',
});
// A daemon that starts meanwhile must read either the old bundle or the new one; part of a bundle ends the process at once.
const partial = `${outfile}.${process.pid}`;
writeFileSync(partial, bundle!.contents);
renameSync(partial, outfile);
