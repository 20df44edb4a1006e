import {createRequire} from 'node:module';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {build} from 'esbuild';
import {describe, expect, test} from 'vitest';
import {cheapAssertions} from '../../scripts/bundle/cheap-assertions.ts';

type Bundled = {
	readonly failures: ReadonlyArray<{readonly name: string; readonly code: string; readonly message: string; readonly generatedMessage: boolean}>;
	readonly hasPassed: boolean;
	/** Results of comparing 1 and '1' loosely or strictly, by module. */
	readonly comparisons: readonly boolean[];
};

const source = `
const failures = [];
for (const name of ['node:assert', 'assert', 'node:assert/strict']) {
	const assert = {'node:assert': require('node:assert'), assert: require('assert'), 'node:assert/strict': require('node:assert/strict')}[name];
	for (const fail of [() => assert(failures === undefined), () => assert.ok(0), () => assert(false, 'reason'), () => assert.strictEqual(1, 2, 'differ')]) {
		try {
			fail();
		} catch (error) {
			failures.push(error);
		}
	}

	assert(true);
	assert.ok(1);
	assert.strictEqual(1, 1);
}

function compares(assert) {
	try {
		assert.equal(1, '1');
		return true;
	} catch {
		return false;
	}
}

const comparisons = [require('node:assert'), require('node:assert').strict, require('node:assert/strict'), require('assert/strict').strict].map(assert => compares(assert));
module.exports = {failures, hasPassed: true, comparisons};
`;

async function runBundle(): Promise<Bundled> {
	const folder = mkdtempSync(path.join(tmpdir(), 'wagtailtack-'));
	try {
		const entry = path.join(folder, 'entry.cjs');
		const outfile = path.join(folder, 'bundle.cjs');
		writeFileSync(entry, source);
		await build({
			entryPoints: [entry], bundle: true, platform: 'node', format: 'cjs', outfile, plugins: [cheapAssertions], logLevel: 'error',
		});
		return createRequire(import.meta.url)(outfile) as Bundled;
	} finally {
		rmSync(folder, {recursive: true});
	}
}

describe('a bundle', () => {
	// Guards against a failed assertion of a library for whose message Node.js parses the whole bundle.
	test('fails assertions without quoting their source, under each name of the module', async () => {
		const {failures, hasPassed, comparisons} = await runBundle();
		expect(hasPassed).toBe(true);
		expect(comparisons).toEqual([true, false, false, false]);
		expect(failures.map(({message}) => message.split('\n')[0])).toEqual(Array.from({length: 3}, () => ['assertion failed', 'assertion failed', 'reason', 'differ']).flat());
		expect(failures.every(({name, code, generatedMessage}) => name === 'AssertionError' && code === 'ERR_ASSERTION' && !generatedMessage)).toBe(true);
	});
});
