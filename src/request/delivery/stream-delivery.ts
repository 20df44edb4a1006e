import {callUpstream} from '../../connection/links/upstream-call.ts';
import type {PromptWork} from '../../ports/upstream-protocol.ts';
import type {Upstream} from '../../ports/upstream.ts';
import {classifyRejection, Delivery, type DeliveryResult} from './delivery.ts';
import {StreamRun, type StreamRunResult} from './stream-run.ts';
import {
	isPlaced, type Placement, type PlacementRefusal,
} from './upstream-scheduler.ts';

/** Sends that read a prompt; each further one counts as a retry. */
const maxPrefillSends = 3;
/** Sends that generate; those that no upstream has run do not count as attempts. */
const maxDecodeSends = 4;
/** A prefill is given up after this multiple of its predicted time, and this many milliseconds more. */
const prefillTimeoutFactor = 4;
const prefillTimeoutMarginMs = 600;

/** A stream is not resumed with less time left, in milliseconds: no event would come in time. */
const minResumeTimeMs = 100;

/** A prompt that an upstream has read and keeps until it is fetched. */
type PrefilledPrompt = {
	readonly source: Upstream;
	readonly handle: string;
};

type PrefillOutcome
	= | {readonly kind: 'read'; readonly prompt: PrefilledPrompt}
		/** The prompt was not read; the upstream that generates may read it itself. */
		| {readonly kind: 'unread'}
		| {readonly kind: 'refused'; readonly refusal: PlacementRefusal};

type PrefillSendResult
	= | {readonly kind: 'read'; readonly prompt: PrefilledPrompt}
		/** The call arrived, or may have, and there is no prompt to be fetched. */
		| {readonly kind: 'failed'}
		| {readonly kind: 'notSent'};

/** Delivers a stream of a model service: one upstream reads the prompt, another one generates the answer. */
export class StreamDelivery extends Delivery {
	#lastEventId: string | undefined;

	async run(): Promise<DeliveryResult> {
		const prefill = await this.#prefill();
		if (prefill.kind === 'refused') {
			return this.refusePlacement(prefill.refusal);
		}

		return this.#generate(prefill.kind === 'read' ? prefill.prompt : undefined);
	}

	/** Reads the prompt at one upstream; reading it again elsewhere does no harm, since nothing runs yet. */
	async #prefill(): Promise<PrefillOutcome> {
		const tried = new Set<string>();
		for (let attempt = 0; attempt < maxPrefillSends; attempt += 1) {
			const placement = await this.dependencies.scheduler.placePrefill({...this.demand, tried});
			if (!isPlaced(placement)) {
				return placement.reason === 'overloaded' ? {kind: 'refused', refusal: placement} : {kind: 'unread'};
			}

			if (this.job.signal.aborted || !this.reserveSend()) {
				placement.release({kind: 'cancelled', elapsedMs: 0});
				return {kind: 'unread'};
			}

			tried.add(placement.upstream.id);
			const result = await this.#readPrompt(placement);
			if (result.kind === 'read') {
				// A reading that succeeds does not count; the first send that generates takes its place.
				this.carryReservation();
				return result;
			}

			if (result.kind === 'notSent') {
				this.countedSends -= 1;
			}
		}

		return {kind: 'unread'};
	}

	async #readPrompt(placement: Placement): Promise<PrefillSendResult> {
		const {dependencies: tools, job} = this;
		const {upstream, fetchFrom} = placement;
		const sentAt = tools.clock.now();
		this.recordSend(placement, 'prefill', {fetchFrom: fetchFrom?.id});
		const result = await callUpstream({
			upstreamClients: tools.upstreamClients,
			protocol: tools.protocol,
			upstream,
			wire: tools.protocol.encode({
				request: job.request, upstream, remainingMs: this.upstreamRemainingMs, priority: placement.rank, lastEventId: undefined, work: {kind: 'prefill', fetchFrom},
			}),
			timeoutMs: Math.min(this.remainingMs, (placement.predictedMs * prefillTimeoutFactor) + prefillTimeoutMarginMs),
			signal: job.signal,
		});
		const elapsedMs = tools.clock.now() - sentAt;
		if (result.kind === 'failed') {
			const end = this.classifyFailure(result.failure, elapsedMs);
			placement.release(end);
			if (result.failure.kind === 'lost') {
				tools.crashes.connectionLost(job.request, upstream.id);
			}

			this.logSendResult(upstream, end.kind, elapsedMs, {cause: result.failure.message});
			return {kind: result.failure.wasSent ? 'failed' : 'notSent'};
		}

		const {answer, body} = result;
		const prompt = answer.status === 200 && (answer.requestId === undefined || answer.requestId === job.request.id)
			? tools.protocol.decodePrefill(body).map(({handle}) => ({source: upstream, handle})).toMaybe().extract()
			: undefined;
		const kind = prompt === undefined ? classifyRejection(answer) ?? 'failed' : 'served';
		placement.release({kind, elapsedMs, load: answer.load});
		this.logSendResult(upstream, kind, elapsedMs, {status: answer.status});
		return prompt === undefined ? {kind: 'failed'} : {kind: 'read', prompt};
	}

	async #generate(readPrompt: PrefilledPrompt | undefined): Promise<DeliveryResult> {
		let prompt = readPrompt;
		let end: DeliveryResult | undefined;
		for (let attempt = 0; attempt < maxDecodeSends && end === undefined; attempt += 1) {
			const placement = this.dependencies.scheduler.placeDecode(this.demand, prompt?.source);
			if (!isPlaced(placement)) {
				end = this.#endUnfinished(() => this.refusePlacement(placement));
				break;
			}

			if (this.job.signal.aborted || !this.reserveSend()) {
				placement.release({kind: 'cancelled', elapsedMs: 0});
				end = this.#endUnfinished(() => this.refuse('No further attempt is allowed.', 0));
				break;
			}

			const result = await this.#stream(placement, prompt);
			if (result.mayHaveRun) {
				prompt = undefined;
			}

			end = this.#decide(result, placement.upstream);
			// A handle that one upstream could not fetch is tried once more and then given up.
			if (attempt > 0 || result.kind === 'misdirected') {
				this.#releasePrompt(prompt);
				prompt = undefined;
			}
		}

		this.#releasePrompt(prompt);
		return end ?? this.#endUnfinished(() => this.refuse('No upstream took the request.', 0));
	}

	async #stream(placement: Placement, prompt: PrefilledPrompt | undefined): Promise<StreamRunResult> {
		const {dependencies: tools, job} = this;
		const {upstream} = placement;
		const work: PromptWork = prompt === undefined ? {kind: 'whole'} : {kind: 'decode', ...prompt};
		this.tried.add(upstream.id);
		this.recordSend(placement, work.kind, {after: this.#lastEventId});
		const run = new StreamRun({
			dependencies: tools,
			job,
			placement,
			wire: tools.protocol.encode({
				request: job.request, upstream, remainingMs: this.upstreamRemainingMs, priority: job.route.priority, lastEventId: this.#lastEventId, work,
			}),
			lastEventId: this.#lastEventId,
			canResume: this.#canResume,
			reserveFailover: () => this.reserveFailover(),
			isAuthenticAnswer: answer => this.isAuthenticAnswer(answer),
			onFirstEvent: () => {
				this.markFirstAnswer();
			},
		});
		const result = await run.run();
		this.#lastEventId = result.lastEventId;
		if (result.mayHaveRun) {
			this.runs += 1;
		} else if (!result.mayHaveArrived) {
			this.countedSends -= 1;
		}

		this.logSendResult(upstream, result.kind, result.elapsedMs, {status: result.status, events: result.events, cause: result.message});
		return result;
	}

	/** True while the stream may go on at another upstream after the present one. */
	get #canResume(): boolean {
		return this.job.route.isResumable && this.runs + 1 < this.job.route.attemptLimit;
	}

	/** Returns the end of the delivery, or undefined when another upstream is to be tried. */
	#decide(result: StreamRunResult, upstream: Upstream): DeliveryResult | undefined {
		const {job} = this;
		switch (result.kind) {
			case 'complete': {
				return this.createResult('delivered', `status ${result.status ?? 200}`);
			}

			case 'rejected':
			case 'misdirected':
			case 'refused':
			case 'unreachable': {
				return undefined;
			}

			case 'served':
			case 'failed':
			case 'lost':
			case 'silent':
			case 'cancelled': {
				if (result.kind === 'lost') {
					this.dependencies.crashes.connectionLost(job.request, upstream.id);
				}

				if (this.isCallerGone) {
					return this.createResult('callerGone', 'the caller has gone');
				}

				const mayRetry = job.route.isResumable && this.runs < job.route.attemptLimit && !job.signal.aborted && this.remainingMs >= minResumeTimeMs;
				return mayRetry ? undefined : this.#finishFailed(result);
			}
		}
	}

	/** Passes on the upstream's own failure when there is one. */
	#finishFailed({failure, message}: StreamRunResult): DeliveryResult {
		const {answer, signal} = this.job;
		if (failure !== undefined && !answer.hasBegun && !this.isCallerGone) {
			answer.sendWhole(failure.answer.status, failure.answer.headers, failure.body);
			return this.createResult('delivered', `status ${failure.answer.status}`);
		}

		return this.#endUnfinished(() => this.fail(signal.aborted ? 'expired' : 'badAnswer', message));
	}

	/** Ends the request: a stream that has begun is broken off, one that may have run fails, and any other is refused. */
	#endUnfinished(refuse: () => DeliveryResult): DeliveryResult {
		if (this.job.answer.hasBegun) {
			this.job.answer.abort();
			return this.createResult(this.isCallerGone ? 'callerGone' : 'brokenOff', 'the stream could not go on');
		}

		if (this.runs > 0) {
			return this.fail(this.job.signal.aborted ? 'expired' : 'badAnswer', 'The answer of the upstream was lost.');
		}

		return refuse();
	}

	/** Frees a prompt that no one will fetch; it lapses by itself when the call is lost. */
	#releasePrompt(prompt: PrefilledPrompt | undefined): void {
		if (prompt === undefined) {
			return;
		}

		const {upstreamClients: links, protocol} = this.dependencies;
		void callUpstream({
			upstreamClients: links, protocol, upstream: prompt.source, wire: protocol.encodeReleaseRequest(prompt.source, prompt.handle), timeoutMs: 1000,
		});
		this.log('prompt.released', {upstream: prompt.source.id});
	}
}
