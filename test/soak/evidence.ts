import {Buffer} from 'node:buffer';
import {
	mkdirSync, readdirSync, rmSync, statSync, writeFileSync,
} from 'node:fs';
import path from 'node:path';
import type {CallerRequest} from './caller-load.ts';
import type {Fault} from './fault-schedule.ts';

/** What is kept of a run with violations. */
export type Evidence = {
	readonly seed: number;
	readonly violations: readonly string[];
	readonly faults: readonly Fault[];
	/** Start of the faults, in milliseconds of the monotonic clock. */
	readonly startedAt: number;
	readonly requests: readonly CallerRequest[];
	/** Last part of the log of each daemon. */
	readonly logs: readonly string[];
};

const mebibyte = 1024 * 1024;
/** Size limit of one run; with the number of runs kept, the folder stays below 32 MiB. */
const maxRunBytes = 4 * mebibyte;
const maxRuns = 8;
/** Part of a run's size for what concerns single requests. */
const maxRequestBytes = mebibyte;
const maxFaultBytes = mebibyte / 4;

/** Writes what callers saw of the requests in violations, and the logs, to a new folder; removes the oldest runs beyond the limit. Returns the path of the new folder. */
export function keepEvidence(folder: string, {seed, violations, faults, startedAt, requests, logs}: Evidence): string {
	const run = path.resolve(folder, `seed-${seed}`);
	rmSync(run, {recursive: true, force: true});
	mkdirSync(run, {recursive: true});
	const ids = new Set(violations.flatMap(line => line.match(/\br\d+\b/gv) ?? []));
	const concerned = requests.filter(({id}) => ids.has(id));
	const lines = logs.flatMap(log => log.split('\n').filter(line => [...line.matchAll(/"request":"(r\d+)"/gv)].some(([, id]) => ids.has(id!))));
	write(run, 'violations.txt', violations.join('\n'), maxFaultBytes);
	write(run, 'faults.json', JSON.stringify({startedAt, faults}, undefined, '\t'), maxFaultBytes);
	write(run, 'requests.json', JSON.stringify(concerned, undefined, '\t'), maxRequestBytes / 2);
	write(run, 'requests.log', lines.join('\n'), maxRequestBytes / 2);
	const maxLogBytes = Math.floor((maxRunBytes - maxRequestBytes - (2 * maxFaultBytes)) / Math.max(1, logs.length));
	for (const [index, log] of logs.entries()) {
		write(run, `daemon-${index}.log`, log, maxLogBytes);
	}

	const runs = readdirSync(path.resolve(folder)).map(name => path.resolve(folder, name)).toSorted((a, b) => statSync(b).mtimeMs - statSync(a).mtimeMs);
	for (const old of runs.slice(maxRuns)) {
		rmSync(old, {recursive: true, force: true});
	}

	return run;
}

/** Writes the last part of a text that fits the limit. */
function write(folder: string, name: string, text: string, maxBytes: number): void {
	writeFileSync(path.join(folder, name), Buffer.from(text).subarray(-maxBytes));
}
