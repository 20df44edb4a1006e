import {Buffer} from 'node:buffer';
import type {Exchange, ExchangeFailure} from '../../connection/links/exchange.ts';
import type {UpstreamAnswer, WireRequest} from '../../ports/upstream-protocol.ts';
import {classifyRejection, type DeliveryJob, type DeliveryTools} from './delivery.ts';
import {EventSplitter} from './event-splitter.ts';
import type {Placement, SendEnd} from './upstream-scheduler.ts';

/** One send of a streamed request to one upstream. */
export type StreamRunOptions = {
	readonly tools: DeliveryTools;
	readonly job: DeliveryJob;
	readonly placement: Placement;
	readonly wire: WireRequest;
	/** Last whole event that the caller was sent before this run. */
	readonly lastEventId: string | undefined;
	/** True when another upstream may go on after this one. */
	readonly mayResume: boolean;
	/** Asked when the upstream has been silent: true when another one is certain to go on. */
	readonly mayGiveUp: () => boolean;
	readonly isOwn: (answer: UpstreamAnswer) => boolean;
	readonly onFirstEvent: () => void;
};

/** How a run ended. */
export type StreamRunEnd = {
	readonly kind: 'complete' | SendEnd['kind'];
	readonly message: string;
	readonly status: number | undefined;
	/** True when a byte of the request may have reached the upstream. */
	readonly hasArrived: boolean;
	/** True when the upstream may have run the request, so that the prompt's handle cannot be used again. */
	readonly mayHaveRun: boolean;
	/** Last whole event that the caller was sent. */
	readonly lastEventId: string | undefined;
	readonly events: number;
	readonly elapsedMs: number;
	/** The upstream's own answer that is no stream. */
	readonly failure: {readonly answer: UpstreamAnswer; readonly body: Uint8Array} | undefined;
};

/** A first event later than this many target latencies counts as silence when another upstream may take over. */
const silentTargets = 2;
const shortestSilenceMs = 900;
/** A pause longer than this many target gaps counts as silence. */
const silentGaps = 4;
const defaultGapMs = 250;
/** Largest answer of an upstream that is no stream. */
const failureLimitBytes = 1024 * 1024;
/** A caller that leaves so many bytes unread is given up. */
const unreadLimitBytes = 4 * 1024 * 1024;

/** Relays the events of one upstream to the caller, whole events only. */
export class StreamRun {
	readonly #options: StreamRunOptions;
	readonly #splitter = new EventSplitter();
	readonly #sentAt: number;
	readonly #ended = Promise.withResolvers<StreamRunEnd>();
	#exchange: Exchange | undefined;
	#answer: UpstreamAnswer | undefined;
	readonly #failureChunks: Uint8Array[] = [];
	#failureBytes = 0;
	#lastEventId: string | undefined;
	#events = 0;
	#silenceTimer: NodeJS.Timeout | undefined;
	#verdict: {readonly kind: StreamRunEnd['kind']; readonly message: string} | undefined;
	#isOver = false;

	constructor(options: StreamRunOptions) {
		this.#options = options;
		this.#lastEventId = options.lastEventId;
		this.#sentAt = options.tools.clock.now();
	}

	/** Runs to the end; never rejects. */
	async run(): Promise<StreamRunEnd> {
		const {tools, job: {signal}, placement, wire} = this.#options;
		const cancel = () => {
			this.#cancel('cancelled', String(signal.reason));
		};

		signal.addEventListener('abort', cancel);
		this.#exchange = tools.links.send(placement.upstream, wire, {
			onStarted: () => {
				this.#watchSilence();
			},
			onHead: (status, headers) => {
				this.#takeHead(tools.protocol.decodeAnswer(status, headers));
			},
			onData: chunk => {
				this.#takeData(chunk);
			},
			onEnd: () => {
				this.#takeEnd();
			},
			onFailed: failure => {
				this.#takeFailure(failure);
			},
		});
		if (signal.aborted) {
			cancel();
		}

		try {
			return await this.#ended.promise;
		} finally {
			clearTimeout(this.#silenceTimer);
			signal.removeEventListener('abort', cancel);
		}
	}

	#takeHead(answer: UpstreamAnswer): void {
		const {job, placement, isOwn} = this.#options;
		this.#answer = answer;
		if (answer.load !== undefined) {
			placement.observe(answer.load);
		}

		if (!isOwn(answer)) {
			this.#cancel('lost', 'the answer belongs to another request or is not as the upstream wrote it');
		} else if (answer.status < 300 && !job.answer.hasBegun) {
			job.answer.begin(answer.status, answer.headers);
		}
	}

	#takeData(chunk: Uint8Array): void {
		const {job, onFirstEvent} = this.#options;
		if (this.#answer === undefined || this.#answer.status >= 300) {
			this.#takeFailureData(chunk);
			return;
		}

		for (const {bytes, id} of this.#splitter.accept(chunk)) {
			job.answer.write(bytes);
			this.#lastEventId = id ?? this.#lastEventId;
			this.#events += 1;
			onFirstEvent();
		}

		if (this.#splitter.isOverflowing || job.answer.pendingBytes > unreadLimitBytes) {
			this.#cancel('cancelled', 'the stream is not taken or has no events');
			return;
		}

		this.#watchSilence();
	}

	#takeFailureData(chunk: Uint8Array): void {
		this.#failureBytes += chunk.length;
		if (this.#failureBytes > failureLimitBytes) {
			this.#cancel('lost', 'the answer is too large');
			return;
		}

		// The client library reuses the memory of a chunk.
		this.#failureChunks.push(Buffer.from(chunk));
	}

	#takeEnd(): void {
		const answer = this.#answer;
		if (answer === undefined) {
			this.#finish('lost', 'the answer has no head');
			return;
		}

		const rejection = classifyRejection(answer);
		if (rejection !== undefined) {
			this.#finish(rejection, `status ${answer.status}`);
		} else if (answer.status >= 300) {
			this.#finish('failed', `status ${answer.status}`);
		} else if (this.#splitter.pendingBytes > 0) {
			this.#finish('lost', 'the stream ended within an event');
		} else {
			this.#options.job.answer.end();
			this.#finish('complete', '');
		}
	}

	#takeFailure(failure: ExchangeFailure): void {
		if (this.#verdict !== undefined) {
			this.#finish(this.#verdict.kind, this.#verdict.message);
			return;
		}

		this.#finish(failure.wasSent || failure.kind === 'cancelled' ? 'lost' : failure.kind, failure.message);
	}

	#cancel(kind: StreamRunEnd['kind'], message: string): void {
		this.#verdict ??= {kind, message};
		this.#exchange?.cancel(message);
	}

	/** Waits for the next event; the end of the wait ends the run if another upstream may go on. */
	#watchSilence(): void {
		const {job: {route}, mayResume} = this.#options;
		clearTimeout(this.#silenceTimer);
		if (!mayResume || this.#isOver) {
			return;
		}

		const limitMs = this.#events === 0
			? Math.max(shortestSilenceMs, route.targetLatencyMs * silentTargets)
			: Math.max(shortestSilenceMs, (route.targetGapMs ?? defaultGapMs) * silentGaps);
		this.#silenceTimer = setTimeout(() => {
			if (this.#options.mayGiveUp()) {
				this.#cancel('silent', `no event within ${limitMs} ms`);
			}
		}, limitMs);
	}

	#finish(kind: StreamRunEnd['kind'], message: string): void {
		if (this.#isOver) {
			return;
		}

		this.#isOver = true;
		const {tools, placement} = this.#options;
		const elapsedMs = tools.clock.now() - this.#sentAt;
		placement.release({kind: kind === 'complete' ? 'served' : kind, elapsedMs, load: this.#answer?.load});
		const hasArrived = this.#exchange?.isStarted ?? true;
		const isRejected = kind === 'rejected' || kind === 'misdirected';
		this.#ended.resolve({
			kind,
			message,
			status: this.#answer?.status,
			hasArrived,
			mayHaveRun: hasArrived && !isRejected,
			lastEventId: this.#lastEventId,
			events: this.#events,
			elapsedMs,
			failure: kind === 'failed' && this.#answer !== undefined
				? {answer: this.#answer, body: Buffer.concat(this.#failureChunks)}
				: undefined,
		});
	}
}
