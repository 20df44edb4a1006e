import {build} from 'esbuild';
import {expect, test} from 'vitest';

test('the daemon of the operator\'s platform contains no library that it does not use, so that it starts quickly on small hosts', async () => {
	const {metafile} = await build({
		entryPoints: ['src/fleet-main.ts'], bundle: true, platform: 'node', format: 'cjs', write: false, outdir: 'target', metafile: true, logLevel: 'error',
	});
	const inputs = Object.keys(metafile.inputs);
	expect(inputs.some(input => input.includes('node_modules/undici/lib/dispatcher/client.js'))).toBe(true);
	const unwanted = ['node_modules/zod/', 'node_modules/undici/index.js', 'node_modules/undici/lib/web/fetch/index.js', 'node_modules/hdr-histogram-js/dist/index.js', 'node_modules/@aws-sdk/'];
	expect(inputs.filter(input => unwanted.some(part => input.includes(part)))).toEqual([]);
});

test('the daemon of the operator\'s platform calls no built-in function that Node.js 20 lacks, so that it does not stop when it first needs it', async () => {
	const {outputFiles} = await build({
		entryPoints: ['src/fleet-main.ts'], bundle: true, platform: 'node', format: 'cjs', write: false, outdir: 'target', logLevel: 'error',
	});
	const text = outputFiles.map(file => file.text).join('\n');
	expect(text.length).toBeGreaterThan(100_000);
	expect(text.match(/\b(?:Map\.groupBy|Object\.groupBy|Promise\.try|Array\.fromAsync|RegExp\.escape)\(/gv)).toBeNull();
});
