import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	cp, mkdtemp, readFile, rm, symlink, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {mutations, type Mutation} from '../test/mutations.ts';

const copiedPaths = ['src', 'test', 'bench', 'platform', 'package.json', 'tsconfig.json', 'vitest.config.ts', 'KNOWN-RED.txt'];
const vitest = 'node_modules/vitest/vitest.mjs';
const filter = process.argv[2] ?? '';

/** Applies a mutation to a copy of the sources and runs its tests; returns true if a test fails, as it should. */
async function isCaught(mutation: Mutation): Promise<boolean> {
	const folder = await mkdtemp(path.join(tmpdir(), 'wagtailtack-mutation-'));
	try {
		await Promise.all(copiedPaths.map(async name => cp(name, path.join(folder, name), {recursive: true})));
		await symlink(path.resolve('node_modules'), path.join(folder, 'node_modules'));
		await mutate(path.join(folder, mutation.file), mutation);
		const child = spawn(process.execPath, [vitest, 'run', '--bail=1', ...mutation.tests], {cwd: folder, stdio: 'ignore'});
		const [code] = await once(child, 'exit') as [number | undefined];
		return code !== 0;
	} finally {
		await rm(folder, {recursive: true});
	}
}

async function mutate(file: string, {from, to, guard}: Mutation): Promise<void> {
	const text = await readFile(file, 'utf8');
	if (text.split(from).length !== 2) {
		throw new Error(`The text of the guard "${guard}" must occur exactly once in ${file}.`);
	}

	await writeFile(file, text.replace(from, () => to));
}

for (const mutation of mutations.filter(({guard}) => guard.includes(filter))) {
	const isFailing = await isCaught(mutation);
	console.log(`${isFailing ? 'caught' : 'MISSED'}  ${mutation.guard}`);
	if (!isFailing) {
		process.exitCode = 1;
	}
}
