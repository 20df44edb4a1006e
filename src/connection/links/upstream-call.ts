import type {UpstreamAnswer, UpstreamProtocol, WireRequest} from '../../ports/upstream-protocol.ts';
import type {Upstream} from '../../ports/upstream.ts';
import {BudgetedBuffer} from '../../request/byte-buffer.ts';
import type {ExchangeFailure} from './exchange.ts';
import type {UpstreamClients} from './upstream-clients.ts';

/** Result of a call whose answer is buffered completely. */
export type CallResult
	= | {readonly kind: 'answered'; readonly answer: UpstreamAnswer; readonly body: Uint8Array; /** The result of `isOwnAnswer`. */ readonly isOwn: boolean}
		| {readonly kind: 'failed'; readonly failure: ExchangeFailure};

/** Options of a call. */
export type CallOptions = {
	readonly upstreamClients: UpstreamClients;
	readonly protocol: UpstreamProtocol;
	readonly upstream: Upstream;
	readonly wire: WireRequest;
	/** Timeout for the whole call, in milliseconds. */
	readonly timeoutMs: number;
	/** Returns false if an answer is not one to this call; by default, all are. */
	readonly isOwnAnswer?: (answer: UpstreamAnswer, isReused: boolean) => boolean;
	readonly signal?: AbortSignal;
	/** Reports each further `afterMs` without a complete answer. */
	readonly silence?: {readonly afterMs: number; readonly report: () => void};
	/** Called right before the request is written; returns false to end the call with nothing sent. */
	readonly shouldStart?: () => boolean;
};

/** Largest answer body that is buffered. */
const maxAnswerBytes = 8 * 1024 * 1024;

/** Makes a call and buffers the complete answer; never rejects. */
export async function callUpstream({upstreamClients, protocol, upstream, wire, timeoutMs, isOwnAnswer, signal, silence, shouldStart}: CallOptions): Promise<CallResult> {
	const {promise, resolve} = Promise.withResolvers<CallResult>();
	using body = new BudgetedBuffer(upstreamClients.answerBudget, maxAnswerBytes);
	let answer: UpstreamAnswer | undefined;
	let isOwn = true;
	const exchange = upstreamClients.send(upstream, wire, {
		...(shouldStart === undefined ? {} : {shouldStart}),
		onStarted() {
			// Only the outcome of the call matters.
		},
		onHead(status, headers, isReused) {
			answer = protocol.decodeAnswer(status, headers);
			isOwn = isOwnAnswer?.(answer, isReused) ?? true;
			return isOwn;
		},
		onData(chunk) {
			if (!body.append(chunk)) {
				exchange.rejectBody(body.length + chunk.length);
			}
		},
		onEnd() {
			resolve(answer === undefined
				? {kind: 'failed', failure: {wasSent: true, kind: 'lost', message: 'the answer has no head'}}
				: {
					kind: 'answered', answer, body: body.take(), isOwn,
				});
		},
		onFailed(failure) {
			resolve({kind: 'failed', failure});
		},
	});
	const timer = setTimeout(() => {
		exchange.cancel(`no answer within ${Math.round(timeoutMs)} ms`);
	}, timeoutMs);
	const silenceTimer = silence === undefined
		? undefined
		: setInterval(silence.report, silence.afterMs);
	const cancel = () => {
		exchange.cancel('the caller disconnected or the deadline passed');
	};

	signal?.addEventListener('abort', cancel);
	if (signal?.aborted === true) {
		cancel();
	}

	try {
		return await promise;
	} finally {
		clearTimeout(timer);
		clearInterval(silenceTimer);
		signal?.removeEventListener('abort', cancel);
	}
}
