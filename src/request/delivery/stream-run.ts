import type {Exchange, ExchangeFailure} from '../../connection/links/exchange.ts';
import type {UpstreamAnswer, WireRequest} from '../../ports/upstream-protocol.ts';
import {BudgetedBuffer} from '../byte-buffer.ts';
import {
	classifyRejection, toSendResultKind, type DeliveryJob, type DeliveryDependencies,
} from './delivery.ts';
import {EventSplitter} from './event-splitter.ts';
import type {Placement, SendResult} from './upstream-scheduler.ts';

/** Options of one send of a streamed request to one upstream. */
export type StreamRunOptions = {
	readonly dependencies: DeliveryDependencies;
	readonly job: DeliveryJob;
	readonly placement: Placement;
	readonly wire: WireRequest;
	readonly isAuthenticAnswer: (answer: UpstreamAnswer, isReused: boolean) => boolean;
	/** Called right before the request is written; returns false to end the run with nothing sent. */
	readonly shouldStart: () => boolean;
	/** Called when the request is about to be written to the upstream. */
	readonly onStarted: () => void;
	/** Called before an event, or the end, is sent to the caller; no other run may write from then on. */
	readonly onProgress: () => void;
	readonly onFirstEvent: () => void;
	/** Called with the id of each complete event that was sent to the caller. */
	readonly onEvent: (id: string | undefined) => void;
	/** Called after `silenceMs` milliseconds without an event, and then repeatedly until the next one. */
	readonly onSilent: () => void;
	readonly silenceMs: number;
};

/** Result of a run. */
export type StreamRunResult = {
	readonly kind: 'complete' | SendResult['kind'];
	readonly message: string;
	readonly status: number | undefined;
	/** False when only the end of the connection ends the answer. */
	readonly isFramed: boolean;
	/** True when the connection broke, as in a crash; false when the daemon closed it. */
	readonly isConnectionLost: boolean;
	/** True when a byte of the request may have reached the upstream. */
	readonly mayHaveArrived: boolean;
	/** True when the upstream may have run the request; the prompt's handle cannot be used again then. */
	readonly mayHaveRun: boolean;
	readonly events: number;
	readonly elapsedMs: number;
	/** The upstream's own error answer. */
	readonly failure: {readonly answer: UpstreamAnswer; readonly body: Uint8Array} | undefined;
};

/** Largest error answer of an upstream. */
const maxFailureBodyBytes = 1024 * 1024;
/** Interval of further reports of silence, in milliseconds: another upstream may become usable meanwhile. */
const silenceReportIntervalMs = 100;
/** The run is cancelled when the caller leaves more bytes unread. */
const maxUnreadBytes = 4 * 1024 * 1024;

/** Relays the complete events of one upstream to the caller. */
export class StreamRun {
	readonly #options: StreamRunOptions;
	readonly #splitter: EventSplitter;
	readonly #sentAt: number;
	readonly #result = Promise.withResolvers<StreamRunResult>();
	#exchange: Exchange | undefined;
	#answer: UpstreamAnswer | undefined;
	readonly #failureBody: BudgetedBuffer;
	#events = 0;
	#silenceTimer: NodeJS.Timeout | undefined;
	#cancelCause: {readonly kind: StreamRunResult['kind']; readonly message: string} | undefined;
	#hasEnded = false;
	#isConnectionLost = false;

	constructor(options: StreamRunOptions) {
		this.#options = options;
		const {clock, upstreamClients: {answerBudget}} = options.dependencies;
		this.#splitter = new EventSplitter(answerBudget);
		this.#failureBody = new BudgetedBuffer(answerBudget, maxFailureBodyBytes);
		this.#sentAt = clock.now();
	}

	/** Sends the request and relays the answer to its end; never rejects. */
	async run(): Promise<StreamRunResult> {
		const {dependencies, job: {signal}, placement, wire} = this.#options;
		const cancel = () => {
			this.cancel('cancelled', String(signal.reason));
		};

		signal.addEventListener('abort', cancel);
		this.#exchange = dependencies.upstreamClients.send(placement.upstream, wire, {
			shouldStart: this.#options.shouldStart,
			onStarted: () => {
				this.#options.onStarted();
				this.#restartSilenceTimer();
			},
			onHead: (status, headers, isReused) => this.#handleHead(dependencies.protocol.decodeAnswer(status, headers), isReused),
			onData: chunk => {
				this.#handleData(chunk);
			},
			onEnd: () => {
				this.#handleEnd();
			},
			onFailed: failure => {
				this.#handleFailure(failure);
			},
		});
		if (signal.aborted) {
			cancel();
		}

		try {
			return await this.#result.promise;
		} finally {
			clearTimeout(this.#silenceTimer);
			signal.removeEventListener('abort', cancel);
			this.#splitter[Symbol.dispose]();
			this.#failureBody[Symbol.dispose]();
		}
	}

	/** Ends the run; nothing more of it is written to the caller. */
	cancel(kind: StreamRunResult['kind'], message: string): void {
		this.#cancelCause ??= {kind, message};
		this.#exchange?.cancel(message);
	}

	/** Returns false if the answer does not belong to the request. */
	#handleHead(answer: UpstreamAnswer, isReused: boolean): boolean {
		const {placement, isAuthenticAnswer} = this.#options;
		this.#answer = answer;
		if (answer.load !== undefined) {
			placement.reportLoad(answer.load);
		}

		if (!isAuthenticAnswer(answer, isReused)) {
			this.cancel('lost', 'the answer belongs to another request or was altered on the way');
			return false;
		}

		return true;
	}

	/** Makes this the only run that writes to the caller, and sends its head unless an earlier run has sent one. */
	#takeAnswer({status, headers}: UpstreamAnswer): void {
		const {job: {answer}, onProgress} = this.#options;
		onProgress();
		if (!answer.hasBegun) {
			answer.begin(status, headers);
		}
	}

	#handleData(chunk: Uint8Array): void {
		const {job, onEvent, onFirstEvent} = this.#options;
		if (this.#answer === undefined || this.#answer.status >= 300) {
			if (!this.#failureBody.append(chunk)) {
				this.cancel('lost', 'the answer is too large');
			}

			return;
		}

		let hasEvent = false;
		for (const {bytes, id} of this.#splitter.accept(chunk)) {
			hasEvent = true;
			this.#takeAnswer(this.#answer);
			job.answer.write(bytes);
			onEvent(id);
			this.#events += 1;
			if (this.#events === 1) {
				this.#recordRun();
				onFirstEvent();
			}
		}

		if (this.#splitter.isEventTooLarge) {
			this.cancel('lost', 'an event exceeds the size limit');
		} else if (job.answer.pendingBytes > maxUnreadBytes) {
			this.cancel('cancelled', 'the caller reads too slowly');
		} else if (hasEvent) {
			// Bytes without a complete event do not show that the upstream makes progress.
			this.#restartSilenceTimer();
		}
	}

	/** A stream has begun to run with its first event; one that is resumed at another upstream runs again there. */
	#recordRun(): void {
		const {dependencies, job: {account}} = this.#options;
		if (account !== undefined) {
			dependencies.usage.recordRun(account);
		}
	}

	#handleEnd(): void {
		const answer = this.#answer;
		if (answer === undefined) {
			this.#isConnectionLost = true;
			this.#finish('lost', 'the answer has no head');
			return;
		}

		const rejection = classifyRejection(answer);
		if (rejection !== undefined) {
			this.#finish(rejection, `status ${answer.status}`);
		} else if (answer.status >= 300) {
			this.#finish('failed', `status ${answer.status}`);
		} else if (this.#splitter.pendingBytes > 0) {
			this.#isConnectionLost = true;
			this.#finish('lost', 'the stream ended in the middle of an event');
		} else {
			this.#takeAnswer(answer);
			this.#options.job.answer.end();
			this.#finish('complete', '');
		}
	}

	#handleFailure(failure: ExchangeFailure): void {
		if (this.#cancelCause !== undefined) {
			this.#finish(this.#cancelCause.kind, this.#cancelCause.message);
			return;
		}

		this.#isConnectionLost = failure.kind === 'lost';
		this.#finish(toSendResultKind(failure), failure.message);
	}

	#restartSilenceTimer(): void {
		const {silenceMs, onSilent} = this.#options;
		clearTimeout(this.#silenceTimer);
		if (!this.#hasEnded) {
			this.#silenceTimer = setTimeout(() => {
				this.#silenceTimer = setInterval(onSilent, silenceReportIntervalMs);
				onSilent();
			}, silenceMs);
		}
	}

	#finish(kind: StreamRunResult['kind'], message: string): void {
		if (this.#hasEnded) {
			return;
		}

		this.#hasEnded = true;
		const {dependencies, placement} = this.#options;
		const elapsedMs = dependencies.clock.now() - this.#sentAt;
		placement.release({
			kind: kind === 'complete' ? 'served' : kind, elapsedMs, load: this.#answer?.load, events: this.#events,
		});
		const mayHaveArrived = this.#exchange?.isStarted ?? true;
		const isRejected = kind === 'rejected' || kind === 'misdirected';
		this.#result.resolve({
			kind,
			message,
			status: this.#answer?.status,
			isFramed: this.#answer?.isFramed ?? false,
			isConnectionLost: this.#isConnectionLost,
			mayHaveArrived,
			mayHaveRun: mayHaveArrived && !isRejected,
			events: this.#events,
			elapsedMs,
			failure: kind === 'failed' && this.#answer !== undefined
				? {answer: this.#answer, body: this.#failureBody.bytes}
				: undefined,
		});
	}
}
