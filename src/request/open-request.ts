import type {CallerAnswer} from '../connection/links/caller-answer.ts';
import type {DeliveryResult} from './delivery/delivery.ts';

/**
How a request ended.

`handlerError`: the daemon itself failed. `refusedUnread`: refused before its body had been read completely.
`connectionClosing`: read after the response that announced the close of its connection, so that it was ignored.
*/
export type RequestOutcome = DeliveryResult['outcome'] | 'handlerError' | 'refusedUnread' | 'connectionClosing';

/** What an open request needs of the answer that it owns. */
export type OwnedAnswer = Pick<CallerAnswer, 'hasBegun' | 'hasEnded' | 'isAborted' | 'refuse' | 'abort'>;

/** Retry delay of a refusal after a failure of the daemon, which need not repeat itself at another one. */
const failureRetryMs = 100;

/**
A request from its head until exactly one of: a complete answer, a refusal, an answer that is visibly cut, or the caller has left.

It knows whether an upstream may have run the request, so that disposal can give the right answer to a request that nothing else
has settled, and it lets no send begin once it is settled.
*/
export class OpenRequest implements Disposable {
	id = '';
	/** True once head and body have been read completely. */
	isWhole = false;
	readonly #answer: OwnedAnswer;
	#outcome: RequestOutcome | undefined;
	#isCutByUpstream = false;
	/** Sends that have begun and not ended. */
	#openSends = 0;
	/** Ended sends after which the upstream may have run the request. */
	#possibleRuns = 0;

	constructor(answer: OwnedAnswer) {
		this.#answer = answer;
	}

	/** Undefined until the request has been settled. */
	get outcome(): RequestOutcome | undefined {
		return this.#outcome;
	}

	/** True when the answer was broken off because its upstream had broken off, or at the deadline. */
	get isCutByUpstream(): boolean {
		return this.#isCutByUpstream;
	}

	/** True when the daemon has aborted the answer. */
	get isAnswerAborted(): boolean {
		return this.#answer.isAborted;
	}

	/** True when an upstream may have run the request, or may still do so. */
	get mayHaveRun(): boolean {
		return this.#openSends > 0 || this.#possibleRuns > 0;
	}

	/** Records that the request is about to be written to an upstream; returns false if it has been settled and must not run any more. */
	beginSend(): boolean {
		if (this.#outcome !== undefined) {
			return false;
		}

		this.#openSends += 1;
		return true;
	}

	/** Records the end of the send that has begun, if one has. */
	endSend(mayHaveRun: boolean): void {
		if (this.#openSends > 0) {
			this.#openSends -= 1;
			this.#possibleRuns += mayHaveRun ? 1 : 0;
		}
	}

	/** Records how the request ended; throws if its answer has not ended although the caller is there, or if it was settled before. */
	settle(outcome: RequestOutcome, isCutByUpstream = false): void {
		if (this.#outcome !== undefined) {
			throw new Error(`The request was settled as ${this.#outcome} and then as ${outcome}.`);
		}

		if (outcome !== 'callerGone' && outcome !== 'connectionClosing' && !this.#answer.hasEnded) {
			throw new Error(`The request ended as ${outcome} without an answer.`);
		}

		this.#outcome = outcome;
		this.#isCutByUpstream = isCutByUpstream;
	}

	/** Answers a request that has not been settled; the refusal is true. */
	[Symbol.dispose](): void {
		if (this.#outcome !== undefined) {
			return;
		}

		// Set first, so that no send begins after the refusal.
		this.#outcome = 'handlerError';
		if (this.#answer.hasEnded) {
			return;
		}

		if (this.#answer.hasBegun) {
			this.#answer.abort();
		} else if (this.mayHaveRun) {
			this.#answer.refuse({
				ran: 'unknown', kind: 'badAnswer', message: 'The daemon failed while the request ran.', retryAfterMs: undefined,
			});
		} else {
			this.#answer.refuse({
				ran: 'notRun', kind: 'busy', message: 'The daemon failed before the request ran.', retryAfterMs: failureRetryMs,
			});
		}
	}
}
