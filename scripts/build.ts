/**
Builds `dist/wagtailtack`: a single executable that runs without `node_modules`.
*/
import {execFileSync} from 'node:child_process';
import {
	chmodSync, copyFileSync, mkdirSync, readFileSync, writeFileSync,
} from 'node:fs';
import process from 'node:process';
import {build} from 'esbuild';
import {cheapAssertions} from './bundle/cheap-assertions.ts';

const fuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';
const executable = 'dist/wagtailtack';

mkdirSync('dist', {recursive: true});
await build({
	entryPoints: ['src/main.ts'],
	bundle: true,
	platform: 'node',
	target: 'node24',
	format: 'cjs',
	outfile: 'dist/wagtailtack.cjs',
	// The yargs package resolves its locale files from import.meta.url, which CommonJS lacks.
	define: {'import.meta.url': 'importMetaUrl', builtVersion: JSON.stringify(describeVersion())},
	banner: {js: 'const importMetaUrl = require(\'node:url\').pathToFileURL(__filename).href;'},
	plugins: [cheapAssertions],
	logLevel: 'error',
});
writeFileSync('dist/sea.json', JSON.stringify({
	main: 'dist/wagtailtack.cjs',
	output: 'dist/sea.blob',
	disableExperimentalSEAWarning: true,
}));
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], {stdio: ['ignore', 'ignore', 'inherit']});
copyFileSync(process.execPath, executable);
execFileSync(process.execPath, [
	'node_modules/postject/dist/cli.js', executable, 'NODE_SEA_BLOB', 'dist/sea.blob', '--sentinel-fuse', fuse,
], {stdio: ['ignore', 'ignore', 'inherit']});
chmodSync(executable, 0o755);
console.log(`Built ${executable}.`);

/** Version of the package and date of the commit that is built. */
function describeVersion(): string {
	const {version} = JSON.parse(readFileSync('package.json', 'utf8')) as {readonly version: string};
	const date = execFileSync('git', ['log', '-1', '--format=%cs'], {encoding: 'utf8'}).trim();
	return `${version} (${date})`;
}
