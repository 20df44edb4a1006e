import {Buffer} from 'node:buffer';
import {write} from 'node:fs';

/** Fields of a log line; `request` is the id of the request that the line is about. */
export type LogValues = Readonly<Record<string, unknown>>;

/** Writes bytes without blocking the process; calls `done` when they have been written. */
export type LogSink = (bytes: Uint8Array, done: (error: unknown) => void) => void;

/** Limits on the volume of the log. */
export type DecisionLogLimits = {
	/** Size of the buffer for unwritten lines, in bytes; lines beyond it are dropped and counted. */
	readonly pendingBytes: number;
	/** Routine lines written per second, at most. */
	readonly routineLinesPerSecond: number;
};

/** Default limits; a daemon that receives 20 requests per second writes about 100 routine lines per second. */
export const decisionLogLimits: DecisionLogLimits = {pendingBytes: 512 * 1024, routineLinesPerSecond: 600};

/** Events whose number grows with the traffic or with the number of requests that an upstream drops; these lines are dropped first. */
const routineEvents: ReadonlySet<string> = new Set(['request.received', 'send', 'sent', 'queued', 'crash.attributed', 'crash.reported', 'connection.closed', 'answer.givenUp', 'retry.denied']);
const standardOutput = 1;
const rateWindowMs = 1000;
const flushDelayMs = 100;

/** Structured log of the daemon's decisions as JSON lines, bounded in volume and written without blocking. */
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

	/** Lines dropped since the start. */
	get droppedLines(): number {
		return this.#droppedLines;
	}

	/** Writes one line about an event, or drops and counts it if a limit is exceeded. */
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

	/** Resolves once all buffered lines have been written, or after a time limit in milliseconds. */
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
				// A failure to write to standard output cannot be reported anywhere else.
				this.#countDropped();
			}

			if (this.#pending.length > 0) {
				this.#schedule();
			}
		});
	}
}

/** Writes in the thread pool, so that a blocked reader of standard output delays only the log. */
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
