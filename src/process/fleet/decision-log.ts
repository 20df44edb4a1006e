import {Buffer} from 'node:buffer';
import {write} from 'node:fs';

/** Values of a log line; `request` is the id of the request that the line concerns. */
export type LogValues = Readonly<Record<string, unknown>>;

/** Writes bytes without blocking the process; calls back when they were taken. */
export type LogSink = (bytes: Uint8Array, done: (error: unknown) => void) => void;

/** Bounds on the log. */
export type DecisionLogLimits = {
	/** Lines that wait for standard output, in bytes; further ones are counted and left out. */
	readonly pendingBytes: number;
	/** Lines a second about requests that go well. */
	readonly routineLinesPerSecond: number;
};

/** A daemon with 20 requests a second writes about 100 routine lines a second. */
export const decisionLogLimits: DecisionLogLimits = {pendingBytes: 512 * 1024, routineLinesPerSecond: 600};

/** Events of requests that go well; they are left out first. */
const routineEvents: ReadonlySet<string> = new Set(['request.received', 'send', 'sent', 'queued']);
const standardOutput = 1;
const rateWindowMs = 1000;
const flushDelayMs = 100;

/** Log of decisions: one JSON line each, bounded, written without blocking. */
export class DecisionLog {
	readonly #sink: LogSink;
	readonly #limits: DecisionLogLimits;
	readonly #base: LogValues;
	#pending: string[] = [];
	#pendingBytes = 0;
	#isWriting = false;
	#isScheduled = false;
	#routineLines = 0;
	#windowStart = 0;
	#unreportedDrops = 0;
	#droppedLines = 0;

	constructor(base: LogValues, sink: LogSink = writeToStandardOutput, limits: DecisionLogLimits = decisionLogLimits) {
		this.#base = base;
		this.#sink = sink;
		this.#limits = limits;
	}

	/** Lines left out since the start. */
	get droppedLines(): number {
		return this.#droppedLines;
	}

	/** Writes one line about an event, or counts it as left out. */
	write(event: string, values: LogValues = {}): void {
		const now = Date.now();
		if (routineEvents.has(event) && !this.#allowsRoutineLine(now)) {
			this.#countDropped();
			return;
		}

		const line = `${JSON.stringify({
			time: now, event, ...this.#base, ...values,
		})}\n`;
		if (this.#pendingBytes + line.length > this.#limits.pendingBytes) {
			this.#countDropped();
			return;
		}

		this.#pending.push(line);
		this.#pendingBytes += line.length;
		this.#schedule();
	}

	/** Resolves once the lines written so far were taken, or after a time limit in milliseconds. */
	async flush(limitMs: number): Promise<void> {
		const end = Date.now() + limitMs;
		this.#flush();
		while ((this.#isWriting || this.#pending.length > 0) && Date.now() < end) {
			await new Promise(resolve => {
				setTimeout(resolve, flushDelayMs);
			});
		}
	}

	#allowsRoutineLine(now: number): boolean {
		if (now - this.#windowStart >= rateWindowMs || now < this.#windowStart) {
			this.#windowStart = now;
			this.#routineLines = 0;
		}

		this.#routineLines += 1;
		return this.#routineLines <= this.#limits.routineLinesPerSecond;
	}

	#countDropped(): void {
		this.#unreportedDrops += 1;
		this.#droppedLines += 1;
	}

	#schedule(): void {
		if (this.#isScheduled || this.#isWriting) {
			return;
		}

		this.#isScheduled = true;
		setTimeout(() => {
			this.#isScheduled = false;
			this.#flush();
		}, flushDelayMs);
	}

	#flush(): void {
		if (this.#isWriting || this.#pending.length === 0) {
			return;
		}

		if (this.#unreportedDrops > 0) {
			this.#pending.push(`${JSON.stringify({
				time: Date.now(), event: 'log.leftOut', ...this.#base, lines: this.#unreportedDrops,
			})}\n`);
			this.#unreportedDrops = 0;
		}

		const bytes = Buffer.from(this.#pending.join(''));
		this.#pending = [];
		this.#isWriting = true;
		this.#sink(bytes, error => {
			this.#isWriting = false;
			this.#pendingBytes = this.#pending.reduce((sum, line) => sum + line.length, 0);
			if (error !== undefined && error !== null) {
				// There is no other place to report that standard output cannot be written.
				this.#countDropped();
			}

			if (this.#pending.length > 0) {
				this.#schedule();
			}
		});
	}
}

/** A write runs in the thread pool, so that a reader that has stopped holds up the log and nothing else. */
function writeToStandardOutput(bytes: Uint8Array, done: (error: unknown) => void): void {
	let offset = 0;
	const next = () => {
		write(standardOutput, bytes, offset, bytes.length - offset, undefined, (error, written) => {
			if (error === null && written + offset < bytes.length) {
				offset += written;
				next();
				return;
			}

			done(error ?? undefined);
		});
	};

	next();
}
