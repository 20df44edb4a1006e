import type {RequestIdentity} from '../../request/request-identity.ts';
import {refusalDurationMs} from './crash-timing.ts';
import type {CondemnedParts} from './prompt-part-history.ts';

/** A crash of an upstream, with the requests in flight there that have not been cleared. */
export type RememberedCrash = {
	readonly upstream: string;
	readonly ageMs: number;
	readonly requests: readonly RequestIdentity[];
};

/** What the daemons know of crashes. All times are relative, because monotonic clocks of processes differ. */
export type CrashMemory = {
	/** The most suspicious crashes first. */
	readonly crashes: readonly RememberedCrash[];
	readonly condemned: ReadonlyArray<{readonly fingerprint: string; readonly refusedForMs: number}>;
	readonly parts: readonly CondemnedParts[];
};

/** Memory of daemons that have seen no crash. */
export const emptyCrashMemory: CrashMemory = {crashes: [], condemned: [], parts: []};

/** Size up to which a memory is kept, in characters; a row of the platform's store holds 64 KiB in base64, with escapes. */
const maxCharacters = 24 * 1024;
/** Characters of an entry beside its names. */
const entryCharacters = 48;
/** Condemned requests and sets of parts that are kept of each; the latest ones stay. */
const maxCondemned = 64;
/** Age of what is stored after which its cleared entries are removed without another reason to write, in milliseconds. */
const removalDelayMs = 10_000;

/** Reduces a memory to the size that is kept: condemnations go before crashes, and the first crashes before later ones. */
export function limitCrashMemory({crashes, condemned, parts}: CrashMemory): CrashMemory {
	const keptCondemned = condemned.slice(-maxCondemned);
	const keptParts = parts.slice(-maxCondemned);
	let characters = measure([...keptCondemned.map(({fingerprint}) => fingerprint), ...keptParts.flatMap(({promptParts}) => promptParts)]);
	const keptCrashes: RememberedCrash[] = [];
	for (const crash of crashes) {
		characters += measure([crash.upstream, ...crash.requests.flatMap(({fingerprint, promptParts}) => [fingerprint, ...promptParts])]);
		if (characters > maxCharacters) {
			break;
		}

		keptCrashes.push(crash);
	}

	return {crashes: keptCrashes, condemned: keptCondemned, parts: keptParts};
}

/** True if a memory has no entries. */
export function isEmpty({crashes, condemned, parts}: CrashMemory): boolean {
	return crashes.length + condemned.length + parts.length === 0;
}

/** True if the stored memory has to be replaced by a newer one. */
export function isOutdated(stored: CrashMemory, current: CrashMemory, storedForMs: number): boolean {
	const storedCrashes = listCrashes(stored);
	const storedRefusals = listRefusals(stored);
	const crashes = listCrashes(current);
	const refusals = listRefusals(current);
	return isAnyMissing(crashes, storedCrashes)
		|| isAnyMissing(refusals, storedRefusals)
		|| isAnyMissing(storedRefusals, refusals)
		|| (storedForMs >= removalDelayMs && isAnyMissing(storedCrashes, crashes));
}

/** Encodes a memory as the body of a row; `now` is wall time in milliseconds. */
export function encodeCrashMemory(memory: CrashMemory, now: number): string {
	return JSON.stringify({
		writtenAt: Math.round(now),
		crashes: memory.crashes.map(({upstream, ageMs, requests}) => [upstream, Math.round(ageMs), requests.map(({fingerprint, promptParts}) => [fingerprint, ...promptParts])]),
		condemned: memory.condemned.map(({fingerprint, refusedForMs}) => [fingerprint, Math.round(refusedForMs)]),
		parts: memory.parts.map(({promptParts, refusedForMs, firstCrashAgeMs}) => [promptParts, Math.round(refusedForMs), Math.round(firstCrashAgeMs)]),
	});
}

/** Decodes the body of a row, with times relative to `now`; undefined if the body is not a memory. Entries that cannot be used or have expired are left out. */
export function decodeCrashMemory(body: string, now: number): CrashMemory | undefined {
	const row = parseRow(body);
	if (row === undefined) {
		return undefined;
	}

	// Clocks of hosts differ; nothing that was read is newer than now.
	const elapsedMs = Math.max(0, now - row.writtenAt);
	return {
		crashes: asList(row.crashes).flatMap(entry => decodeCrash(entry, elapsedMs)),
		condemned: asList(row.condemned).flatMap(entry => decodeRefusal(entry, elapsedMs)),
		parts: asList(row.parts).flatMap(entry => decodeParts(entry, elapsedMs)),
	};
}

type MemoryRow = {readonly writtenAt: number; readonly crashes?: unknown; readonly condemned?: unknown; readonly parts?: unknown};

function parseRow(body: string): MemoryRow | undefined {
	try {
		const row = JSON.parse(body) as MemoryRow | undefined;
		return isDuration(row?.writtenAt) ? row : undefined;
	} catch {
		return undefined;
	}
}

function decodeCrash(entry: unknown, elapsedMs: number): readonly RememberedCrash[] {
	const [upstream, ageMs, requests] = asList(entry);
	if (typeof upstream !== 'string' || !isDuration(ageMs) || ageMs + elapsedMs >= refusalDurationMs) {
		return [];
	}

	const identities = asList(requests).map(request => asTexts(request)).filter(texts => texts.length > 0);
	return identities.length === 0
		? []
		: [{upstream, ageMs: ageMs + elapsedMs, requests: identities.map(([fingerprint, ...promptParts]) => ({fingerprint: fingerprint!, promptParts}))}];
}

function decodeRefusal(entry: unknown, elapsedMs: number): CrashMemory['condemned'] {
	const [fingerprint, refusedForMs] = asList(entry);
	return typeof fingerprint === 'string' && isDuration(refusedForMs) && refusedForMs > elapsedMs
		? [{fingerprint, refusedForMs: refusedForMs - elapsedMs}]
		: [];
}

function decodeParts(entry: unknown, elapsedMs: number): readonly CondemnedParts[] {
	const [keys, refusedForMs, firstCrashAgeMs] = asList(entry);
	const promptParts = asTexts(keys);
	return promptParts.length > 0 && isDuration(refusedForMs) && refusedForMs > elapsedMs && isDuration(firstCrashAgeMs)
		? [{promptParts, refusedForMs: refusedForMs - elapsedMs, firstCrashAgeMs: firstCrashAgeMs + elapsedMs}]
		: [];
}

function asList(value: unknown): readonly unknown[] {
	return Array.isArray(value) ? value : [];
}

/** Returns a list of texts; an empty one if an entry is of another type. */
function asTexts(value: unknown): readonly string[] {
	const list = asList(value);
	return list.every(entry => typeof entry === 'string') ? list : [];
}

function isDuration(value: unknown): value is number {
	return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

function measure(names: readonly string[]): number {
	return names.reduce((sum, name) => sum + name.length + entryCharacters, 0);
}

/** Names each request of each crash; a request may be in several crashes of one upstream. */
function listCrashes({crashes}: CrashMemory): ReadonlySet<string> {
	const names = new Set<string>();
	for (const {upstream, requests} of crashes) {
		for (const {fingerprint} of requests) {
			let count = 1;
			while (names.has(`${upstream} ${fingerprint} ${count}`)) {
				count += 1;
			}

			names.add(`${upstream} ${fingerprint} ${count}`);
		}
	}

	return names;
}

function isAnyMissing(names: ReadonlySet<string>, known: ReadonlySet<string>): boolean {
	return [...names].some(name => !known.has(name));
}

function listRefusals({condemned, parts}: CrashMemory): ReadonlySet<string> {
	return new Set([
		...condemned.map(({fingerprint}) => fingerprint),
		...parts.map(({promptParts}) => `parts ${promptParts.join(' ')}`),
	]);
}
