import {callUpstream, type CallResult} from '../../connection/links/upstream-call.ts';
import {classifyRejection, Delivery, type DeliveryEnd} from './delivery.ts';
import {isPlaced, type Placement, type SendEnd} from './upstream-scheduler.ts';

/** Sends that found no upstream running; each goes to another upstream. */
const unsentLimit = 4;
/** An idempotent request is sent elsewhere after this multiple of the route's target latency without an answer. */
const silenceTargets = 3;
const shortestSilenceMs = 400;

type Step
	= | {readonly kind: 'done'; readonly end: DeliveryEnd}
		| {readonly kind: 'again'; readonly otherwise: () => DeliveryEnd; /** True when the upstream's own answer is at hand. */ readonly hasAnswer: boolean};

/** Delivers a request of a plain service: the answer is taken as a whole before it is passed on. */
export class PlainDelivery extends Delivery {
	async run(): Promise<DeliveryEnd> {
		let otherwise: (() => DeliveryEnd) | undefined;
		let hasAnswer = false;
		for (let unsent = 0; unsent < unsentLimit;) {
			const placement = await this.tools.scheduler.placePlain(this.demand);
			if (!isPlaced(placement)) {
				return otherwise?.() ?? this.refusePlacement(placement);
			}

			if (this.job.signal.aborted || !this.takeArrival()) {
				placement.release({kind: 'cancelled', elapsedMs: 0});
				return otherwise?.() ?? this.refuse('No further attempt is allowed.', 0);
			}

			const step = await this.#send(placement);
			if (step.kind === 'done') {
				return step.end;
			}

			// An upstream's own answer is delivered rather than an answer of the daemon's.
			otherwise = hasAnswer && !step.hasAnswer ? otherwise : step.otherwise;
			hasAnswer ||= step.hasAnswer;
			unsent += 1;
			if (this.runs >= this.job.route.attemptLimit || this.job.signal.aborted) {
				break;
			}
		}

		return otherwise?.() ?? this.refuse('No upstream took the request.', 0);
	}

	get #isIdempotent(): boolean {
		return this.job.route.kind === 'idempotent';
	}

	async #send(placement: Placement): Promise<Step> {
		const {tools, job} = this;
		const {upstream} = placement;
		const sentAt = tools.clock.now();
		this.tried.add(upstream.id);
		const isLast = !this.#isIdempotent || this.runs + 1 >= job.route.attemptLimit;
		const silenceMs = Math.max(shortestSilenceMs, job.route.targetLatencyMs * silenceTargets);
		this.noteSend(placement, 'plain');
		const result = await callUpstream({
			links: tools.links,
			protocol: tools.protocol,
			upstream,
			wire: tools.protocol.encode({
				request: job.request, upstream, remainingMs: this.upstreamMs, priority: undefined, lastEventId: undefined, work: {kind: 'whole'},
			}),
			timeoutMs: this.remainingMs,
			signal: job.signal,
			...(isLast
				? {}
				: {silence: {afterMs: silenceMs, mayGiveUp: () => this.mayGiveUpSilent()}}),
		});
		const elapsedMs = tools.clock.now() - sentAt;
		const end = this.#toEnd(result, elapsedMs);
		placement.release(end);
		this.noteSent(upstream, end.kind, elapsedMs, result.kind === 'answered'
			? {status: result.answer.status, isFramed: result.answer.isFramed, bytes: result.body.length}
			: {cause: result.failure.message});
		return this.#decide(result, end, upstream.id);
	}

	#toEnd(result: CallResult, elapsedMs: number): SendEnd {
		if (result.kind === 'failed') {
			return this.toFailedEnd(result.failure, elapsedMs);
		}

		const {answer} = result;
		const {load, status} = answer;
		if (!this.isOwn(answer)) {
			return {kind: 'lost', elapsedMs, load};
		}

		return {kind: classifyRejection(answer) ?? (status >= 500 ? 'failed' : 'served'), elapsedMs, load};
	}

	#decide(result: CallResult, {kind}: SendEnd, upstreamId: string): Step {
		switch (kind) {
			case 'served':
			case 'failed': {
				this.runs += 1;
				return this.#decideAnswer(result as Extract<CallResult, {kind: 'answered'}>, kind);
			}

			case 'rejected':
			case 'misdirected': {
				return {kind: 'again', otherwise: () => this.#refuseOrFail('The upstream rejected the request.'), hasAnswer: false};
			}

			case 'refused':
			case 'unreachable': {
				// Nothing arrived, so the next send is still the first arrival.
				this.arrivals -= 1;
				return {kind: 'again', otherwise: () => this.#refuseOrFail('No upstream could be reached.'), hasAnswer: false};
			}

			case 'lost':
			case 'silent':
			case 'cancelled': {
				return this.#decideLoss(result, upstreamId);
			}
		}
	}

	#decideAnswer({answer, body}: Extract<CallResult, {kind: 'answered'}>, kind: 'served' | 'failed'): Step {
		const deliver = () => {
			this.markFirstAnswer();
			this.job.answer.sendWhole(answer.status, answer.headers, body);
			return this.end('delivered', `status ${answer.status}`);
		};

		return kind === 'failed' && this.#isIdempotent
			? {kind: 'again', otherwise: deliver, hasAnswer: true}
			: {kind: 'done', end: deliver()};
	}

	#decideLoss(result: CallResult, upstreamId: string): Step {
		const failure = result.kind === 'failed' ? result.failure : undefined;
		if (failure?.wasSent === false) {
			return {kind: 'done', end: this.#refuseOrFail('The request was not sent.')};
		}

		this.runs += 1;
		if (this.job.signal.aborted) {
			return {kind: 'done', end: this.isCallerGone ? this.end('callerGone', 'the caller has gone') : this.fail('expired', 'The upstream did not answer in time.')};
		}

		if (failure?.kind === 'lost') {
			this.tools.crashes.connectionLost(this.job.request, upstreamId);
		}

		const otherwise = () => this.fail('badAnswer', 'The answer of the upstream was lost.');
		return this.#isIdempotent ? {kind: 'again', otherwise, hasAnswer: false} : {kind: 'done', end: otherwise()};
	}

	#refuseOrFail(message: string): DeliveryEnd {
		return this.runs === 0
			? this.refuse(message, 0)
			: this.fail('badAnswer', message);
	}
}
