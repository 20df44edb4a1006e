import {readFileSync} from 'node:fs';

/**
Reads the names in KNOWN-RED.txt: lines `test: FULL NAME` or `bench: NAME`; other lines describe the entry.

Measures are returned as `bench NAME`.
*/
export function readKnownRed(): ReadonlySet<string> {
	const text = readFileSync(new URL('../KNOWN-RED.txt', import.meta.url), 'utf8');
	const names = text.split('\n').flatMap(line => {
		if (line.startsWith('test: ')) {
			return [line.slice('test: '.length).trim()];
		}

		return line.startsWith('bench: ') ? [`bench ${line.slice('bench: '.length).trim()}`] : [];
	});
	return new Set(names);
}
