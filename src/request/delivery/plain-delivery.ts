import {callUpstream, type CallResult} from '../../connection/links/upstream-call.ts';
import type {AttemptResult} from '../../process/crashes/crash-attribution.ts';
import {classifyRejection, Delivery, type DeliveryResult} from './delivery.ts';
import {isPlaced, type Placement, type SendResult} from './upstream-scheduler.ts';

/** Limit on the sends of one request; each goes to another upstream. */
const maxSends = 4;
/** Multiple of the route's target latency after which an unanswered idempotent request is sent to another upstream. */
const silenceTimeoutFactor = 3;
const minSilenceTimeoutMs = 400;

type Step
	= | {readonly kind: 'done'; readonly end: DeliveryResult}
		| {readonly kind: 'again'; readonly fallback: () => DeliveryResult; /** True when the fallback is an upstream's own answer. */ readonly hasUpstreamAnswer: boolean};

/** Delivers a request to a plain service; the answer is buffered completely before it is passed on. */
export class PlainDelivery extends Delivery {
	async run(): Promise<DeliveryResult> {
		let fallback: (() => DeliveryResult) | undefined;
		let hasUpstreamAnswer = false;
		for (let sends = 0; sends < maxSends;) {
			const placement = await this.dependencies.scheduler.placePlain(this.demand);
			if (!isPlaced(placement)) {
				return fallback?.() ?? this.refusePlacement(placement);
			}

			if (this.job.startSignal.aborted || !this.reserveSend()) {
				placement.release({kind: 'cancelled', elapsedMs: 0});
				return fallback?.() ?? this.refuseUnreserved();
			}

			const step = await this.#send(placement);
			if (step.kind === 'done') {
				return step.end;
			}

			// An upstream's own answer takes precedence over an error from the daemon.
			fallback = hasUpstreamAnswer && !step.hasUpstreamAnswer ? fallback : step.fallback;
			hasUpstreamAnswer ||= step.hasUpstreamAnswer;
			sends += 1;
			if (this.possibleRuns >= this.job.route.attemptLimit || this.job.startSignal.aborted) {
				break;
			}
		}

		return fallback?.() ?? this.refuse('No upstream took the request.', 0);
	}

	get #isIdempotent(): boolean {
		return this.job.route.kind === 'idempotent';
	}

	async #send(placement: Placement): Promise<Step> {
		const {dependencies, job} = this;
		const {upstream} = placement;
		const sentAt = dependencies.clock.now();
		this.triedUpstreams.add(upstream.id);
		const isLast = !this.#isIdempotent || this.possibleRuns + 1 >= job.route.attemptLimit;
		const silenceTimeoutMs = Math.max(minSilenceTimeoutMs, job.route.targetLatencyMs * silenceTimeoutFactor);
		this.recordSend(placement, 'plain');
		const endAttempt = this.beginAttempt(upstream);
		const result = await callUpstream({
			upstreamClients: dependencies.upstreamClients,
			protocol: dependencies.protocol,
			upstream,
			wire: dependencies.protocol.encode({
				request: job.request, upstream, remainingMs: this.upstreamRemainingMs, priority: undefined, lastEventId: undefined, work: {kind: 'whole'},
			}),
			timeoutMs: this.remainingMs,
			isOwnAnswer: (answer, isReused) => this.isAuthenticAnswer(answer, isReused),
			signal: job.signal,
			...(isLast
				? {}
				: {silence: {afterMs: silenceTimeoutMs, shouldCancel: () => this.reserveFailover()}}),
		});
		const elapsedMs = dependencies.clock.now() - sentAt;
		const sendResult = this.#toSendResult(result, elapsedMs);
		endAttempt(toAttemptResult(result, sendResult));
		placement.release(sendResult);
		this.logSendResult(upstream, sendResult.kind, elapsedMs, result.kind === 'answered'
			? {status: result.answer.status, isFramed: result.answer.isFramed, bytes: result.body.length}
			: {cause: result.failure.message});
		return this.#decide(result, sendResult);
	}

	#toSendResult(result: CallResult, elapsedMs: number): SendResult {
		if (result.kind === 'failed') {
			return this.classifyFailure(result.failure, elapsedMs);
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
		const deliver = () => {
			this.markFirstAnswer();
			this.job.answer.sendComplete(answer.status, answer.headers, body);
			return this.createResult('delivered', `status ${answer.status}`);
		};

		return kind === 'failed' && this.#isIdempotent
			? {kind: 'again', fallback: deliver, hasUpstreamAnswer: true}
			: {kind: 'done', end: deliver()};
	}

	#decideLoss(result: CallResult): Step {
		const failure = result.kind === 'failed' ? result.failure : undefined;
		if (failure?.wasSent === false) {
			return {kind: 'done', end: this.#refuseOrFail('The request was not sent.')};
		}

		this.possibleRuns += 1;
		if (this.job.signal.aborted) {
			return {kind: 'done', end: this.isCallerGone ? this.createResult('callerGone', 'the caller disconnected') : this.fail('expired', 'The upstream did not answer in time.')};
		}

		const fallback = () => this.fail('badAnswer', 'The answer of the upstream was lost.');
		return this.#isIdempotent ? {kind: 'again', fallback, hasUpstreamAnswer: false} : {kind: 'done', end: fallback()};
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
