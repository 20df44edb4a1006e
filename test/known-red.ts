import {readFileSync} from 'node:fs';

/**
Reads the names of known failures from the lines `test: FULL NAME` and `bench: NAME` in KNOWN-RED.txt; all other lines are descriptions.

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
