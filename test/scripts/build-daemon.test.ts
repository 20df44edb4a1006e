import {execFileSync} from 'node:child_process';
import {
	closeSync, mkdtempSync, openSync, readdirSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {expect, test} from 'vitest';

// Guards against a daemon that starts during a build, reads part of the bundle and exits with code 1.
test('the build of the daemon replaces a bundle as a whole, so that a process that has opened the old one reads all of it', () => {
	const folder = mkdtempSync(path.join(tmpdir(), 'wagtailtack-'));
	const bundle = path.join(folder, 'daemon.cjs');
	const old = `${'old '.repeat(100_000)}\n`;
	writeFileSync(bundle, old);
	const opened = openSync(bundle, 'r');
	try {
		execFileSync(process.execPath, ['scripts/build-daemon.ts', bundle]);
		expect(readFileSync(opened, 'utf8') === old).toBe(true);
		expect(readFileSync(bundle, 'utf8')).toContain('process.started');
		expect(readdirSync(folder)).toEqual(['daemon.cjs']);
	} finally {
		closeSync(opened);
		rmSync(folder, {recursive: true});
	}
});
