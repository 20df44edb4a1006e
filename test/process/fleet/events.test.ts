import {readdirSync, readFileSync} from 'node:fs';
import {describe, expect, test} from 'vitest';

const folders = ['src/process/fleet', 'src/process/tables', 'src/process/stages', 'src/process/peers', 'src/request/delivery', 'src'];

function findEvents(): ReadonlySet<string> {
	const files = folders.flatMap(folder => readdirSync(folder).filter(name => name.endsWith('.ts')).map(name => `${folder}/${name}`));
	const events = files.flatMap(file => [...readFileSync(file, 'utf8').matchAll(/(?:log\.write|this\.log|tools\.log\.write|\.log\.write)\('([\w.]+)'/gv)].map(match => match[1]!));
	return new Set(events);
}

describe('log events', () => {
	const table = readFileSync('docs/OPERATIONS.md', 'utf8');
	const rows = table.split('\n').filter(line => line.startsWith('| `'));
	const documented = new Set(rows.flatMap(row => {
		const [, cell] = row.split('|');
		const names = [...cell!.matchAll(/`([\w.]+)`/gv)].map(match => match[1]!);
		const [group] = (names[0] ?? '').split('.');
		return names.map(name => name.startsWith('.') ? `${group}${name}` : name);
	}));

	test('are all documented for operators', () => {
		const events = findEvents();
		expect(events.size).toBeGreaterThan(20);
		expect([...events].filter(event => !documented.has(event))).toEqual([]);
	});
});
