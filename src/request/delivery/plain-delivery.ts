import {callUpstream, type CallResult} from '../../connection/links/upstream-call.ts';
import type {AttemptResult} from '../../process/crashes/crash-attribution.ts';
import {combineSignals} from '../cancellation.ts';
import {AttemptRace} from './attempt-race.ts';
import {classifyRejection, Delivery, type DeliveryResult} from './delivery.ts';
import {isPlaced, type Placement, type SendResult} from './upstream-scheduler.ts';

/** Limit on the sends of one request; each goes to another upstream. */
const maxSends = 4;
/** Multiple of the route's target latency after which an unanswered idempotent request is also sent to another upstream. */
const silenceTimeoutFactor = 3;
const minSilenceTimeoutMs = 400;

type Step
	= | {readonly kind: 'done'; readonly end: () => DeliveryResult}
		| {readonly kind: 'again'; readonly fallback: () => DeliveryResult; /** True when the fallback is an upstream's own answer. */ readonly hasUpstreamAnswer: boolean};

/**
Delivers a request to a plain service; the answer is buffered completely before it is passed on.

An upstream that does not answer in time may merely stand still. Its attempt goes on beside the one at another upstream, and the
first answer is passed on.
*/
export class PlainDelivery extends Delivery {
	readonly #race = new AttemptRace<Step>();
	/** Ends the attempts that are still in progress once one has been answered. */
	readonly #attempts = new AbortController();
	/** Places of attempts that have not been answered in time. */
	readonly #silent = new Set<Placement>();
	/** Place of the attempt that was started last; a further one is tried only when nothing is heard of this one. */
	#latest: Placement | undefined;

	protected override async deliver(): Promise<DeliveryResult> {
		using signals = combineSignals(this.job.signal, this.#attempts.signal);
		try {
			return await this.#run(signals.signal);
		} finally {
			this.#attempts.abort();
		}
	}

	async #run(signal: AbortSignal): Promise<DeliveryResult> {
		let fallback: (() => DeliveryResult) | undefined;
		let hasUpstreamAnswer = false;
		let isSilent = false;
		for (;;) {
			if (this.#race.size === 0 || (isSilent && this.#mayStart)) {
				const refuse = await this.#start(signal);
				if (this.#race.size === 0) {
					return fallback?.() ?? refuse?.() ?? this.refuse('No upstream took the request.', 0);
				}
			}

			const step = await this.#race.next();
			isSilent = true;
			if (step === 'silent') {
				continue;
			}

			if (step.kind === 'done') {
				this.possibleRuns += this.#race.size;
				return step.end();
			}

			// An upstream's own answer takes precedence over an error from the daemon.
			fallback = hasUpstreamAnswer && !step.hasUpstreamAnswer ? fallback : step.fallback;
			hasUpstreamAnswer ||= step.hasUpstreamAnswer;
			if (this.#race.size === 0 && !this.#mayStart) {
				return fallback?.() ?? this.refuse('No upstream took the request.', 0);
			}
		}
	}

	get #isIdempotent(): boolean {
		return this.job.route.kind === 'idempotent';
	}

	/** True if the route allows another attempt beside or after the present ones. */
	get #mayStart(): boolean {
		const possibleRuns = this.possibleRuns + this.#race.size;
		return this.sends < maxSends && possibleRuns < this.job.route.attemptLimit && !this.job.startSignal.aborted && (this.#isIdempotent || possibleRuns === 0);
	}

	/** Starts an attempt; returns the refusal to give if no other attempt is in progress. */
	async #start(signal: AbortSignal): Promise<(() => DeliveryResult) | undefined> {
		const {scheduler} = this.dependencies;
		const isFirst = this.#race.size === 0;
		if (!isFirst && !scheduler.hasUntriedUpstream(this.demand)) {
			return undefined;
		}

		using signals = combineSignals(this.job.startSignal, isFirst ? undefined : this.#race.silenceSignal());
		const placement = await scheduler.placePlain({...this.demand, signal: signals.signal});
		if (!isPlaced(placement)) {
			return () => this.refusePlacement(placement);
		}

		if (signals.signal.aborted || !this.reserveSend()) {
			placement.release({kind: 'cancelled', elapsedMs: 0});
			return () => this.refuseUnreserved();
		}

		for (const silent of this.#silent) {
			silent.reportSilence();
		}

		this.#silent.clear();
		this.#latest = placement;
		this.#race.add(this.#send(placement, signal));
		return undefined;
	}

	async #send(placement: Placement, signal: AbortSignal): Promise<Step> {
		const {dependencies, job} = this;
		const {upstream} = placement;
		const sentAt = dependencies.clock.now();
		this.triedUpstreams.add(upstream.id);
		this.recordSend(placement, 'plain');
		const endAttempt = this.beginAttempt(upstream);
		let hasBegun = false;
		const result = await callUpstream({
			upstreamClients: dependencies.upstreamClients,
			protocol: dependencies.protocol,
			upstream,
			wire: dependencies.protocol.encode({
				request: job.request, upstream, remainingMs: this.upstreamRemainingMs, priority: undefined, lastEventId: undefined, account: job.account, work: {kind: 'whole'},
			}),
			timeoutMs: this.remainingMs,
			isOwnAnswer: (answer, isReused) => this.isAuthenticAnswer(answer, isReused),
			signal,
			shouldStart: () => {
				hasBegun = this.hasAccess && job.open.beginSend();
				return hasBegun;
			},
			silence: {
				afterMs: Math.max(minSilenceTimeoutMs, job.route.targetLatencyMs * silenceTimeoutFactor),
				report: () => {
					this.#silent.add(placement);
					if (this.#latest === placement) {
						this.#race.reportSilence();
					}
				},
			},
		});
		const wasSilent = this.#silent.delete(placement);
		const elapsedMs = dependencies.clock.now() - sentAt;
		const sendResult = this.#toSendResult(result, elapsedMs, signal);
		if (hasBegun) {
			job.open.endSend(sendResult.kind !== 'rejected' && sendResult.kind !== 'misdirected');
			this.#recordRun(sendResult, wasSilent);
		}

		endAttempt(toAttemptResult(result, sendResult));
		placement.release(sendResult);
		this.logSendResult(upstream, sendResult.kind, elapsedMs, result.kind === 'answered'
			? {status: result.answer.status, isFramed: result.answer.isFramed, bytes: result.body.length}
			: {cause: result.failure.message});
		return this.#decide(result, sendResult);
	}

	/** Records a run unless the upstream rejected it; one that ended without an answer counts if the upstream had not stood still. */
	#recordRun({kind, elapsedMs}: SendResult, wasSilent: boolean): void {
		const {account, service} = this.job;
		const isAnswered = kind === 'served' || kind === 'failed';
		const hasRun = isAnswered || ((kind === 'lost' || kind === 'cancelled') && !wasSilent);
		if (account !== undefined && hasRun) {
			this.dependencies.usage.recordRun(account, {service, elapsedMs, isAnswered});
		}
	}

	#toSendResult(result: CallResult, elapsedMs: number, signal: AbortSignal): SendResult {
		if (result.kind === 'failed') {
			return this.classifyFailure(result.failure, elapsedMs, signal);
		}

		const {answer, isOwn} = result;
		const {load, status} = answer;
		if (!isOwn) {
			return {kind: 'lost', elapsedMs, load};
		}

		return {kind: classifyRejection(answer) ?? (status >= 500 ? 'failed' : 'served'), elapsedMs, load};
	}

	#decide(result: CallResult, {kind}: SendResult): Step {
		switch (kind) {
			case 'served':
			case 'failed': {
				this.possibleRuns += 1;
				return this.#decideAnswer(result as Extract<CallResult, {kind: 'answered'}>, kind);
			}

			case 'rejected':
			case 'misdirected': {
				return {kind: 'again', fallback: () => this.#refuseOrFail('The upstream rejected the request.'), hasUpstreamAnswer: false};
			}

			case 'refused':
			case 'unreachable': {
				// Nothing reached the upstream, so this send does not count for the retry budget.
				this.reservedSends -= 1;
				return {kind: 'again', fallback: () => this.#refuseOrFail('No upstream could be reached.'), hasUpstreamAnswer: false};
			}

			case 'lost':
			case 'silent':
			case 'cancelled': {
				return this.#decideLoss(result);
			}
		}
	}

	#decideAnswer({answer, body}: Extract<CallResult, {kind: 'answered'}>, kind: 'served' | 'failed'): Step {
		if (answer.promisesNotRun && !this.#isIdempotent) {
			// The caller would repeat a request that may have run.
			return {kind: 'done', end: () => this.fail('badAnswer', `The upstream failed the request with status ${answer.status}, but may have run it.`)};
		}

		const deliver = () => {
			this.markFirstAnswer();
			this.job.answer.sendComplete(answer.status, answer.headers, body);
			return this.createResult('delivered', `status ${answer.status}`);
		};

		return kind === 'failed' && this.#isIdempotent
			? {kind: 'again', fallback: deliver, hasUpstreamAnswer: true}
			: {kind: 'done', end: deliver};
	}

	#decideLoss(result: CallResult): Step {
		const failure = result.kind === 'failed' ? result.failure : undefined;
		if (failure?.wasSent === false) {
			const fallback = () => this.#refuseOrFail('The request was not sent.');
			// Another attempt that is in progress may still be answered.
			return this.#race.size > 1 ? {kind: 'again', fallback, hasUpstreamAnswer: false} : {kind: 'done', end: fallback};
		}

		this.possibleRuns += 1;
		// The call's own timer for the deadline may fire just before the one that aborts the request.
		if (this.job.signal.aborted || failure?.kind === 'cancelled') {
			return {kind: 'done', end: () => this.isCallerGone ? this.createResult('callerGone', 'the caller disconnected') : this.fail('expired', 'The upstream did not answer in time.')};
		}

		const fallback = () => this.fail('badAnswer', 'The answer of the upstream was lost.');
		return this.#isIdempotent ? {kind: 'again', fallback, hasUpstreamAnswer: false} : {kind: 'done', end: fallback};
	}

	#refuseOrFail(message: string): DeliveryResult {
		return this.possibleRuns === 0
			? this.refuse(message, 0)
			: this.fail('badAnswer', message);
	}
}

function toAttemptResult(result: CallResult, {kind}: SendResult): AttemptResult {
	if (kind === 'served' && result.kind === 'answered') {
		return result.answer.isFramed ? 'complete' : 'unframed';
	}

	return result.kind === 'failed' && result.failure.kind === 'lost' && result.failure.wasSent ? 'lost' : 'other';
}
