import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {expect, test} from 'vitest';

const script = `
	import {handleSignals} from './src/process/early-signals.ts';
	console.log('loaded');
	const pending = new Set(['SIGHUP', 'SIGTERM']);
	setTimeout(() => {
		handleSignals(signal => {
			console.log(signal);
			pending.delete(signal);
			// Signals that are sent back to back may arrive in either order.
			if (pending.size === 0) {
				process.exit(0);
			}
		});
	}, 400);
`;

test('a signal that arrives while a daemon starts does not terminate it and is handled once it has started', async () => {
	const child = spawn(process.execPath, ['--input-type=module', '--eval', script], {stdio: ['ignore', 'pipe', 'inherit']});
	let output = '';
	child.stdout.setEncoding('utf8').on('data', (text: string) => {
		output += text;
	});
	await once(child.stdout, 'data');
	child.kill('SIGHUP');
	child.kill('SIGTERM');
	const [code] = await once(child, 'exit') as [number | undefined];
	expect(code).toBe(0);
	expect(output.split('\n').toSorted()).toEqual(['', 'SIGHUP', 'SIGTERM', 'loaded']);
});
