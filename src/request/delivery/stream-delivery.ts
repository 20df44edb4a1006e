import {callUpstream} from '../../connection/links/upstream-call.ts';
import type {PromptWork} from '../../ports/upstream-protocol.ts';
import type {Upstream} from '../../ports/upstream.ts';
import {classifyRejection, Delivery, type DeliveryEnd} from './delivery.ts';
import {StreamRun, type StreamRunEnd} from './stream-run.ts';
import {
	isPlaced, type Placement, type PlacementRefusal,
} from './upstream-scheduler.ts';

/** Sends that read a prompt; each further one counts as a retry. */
const prefillLimit = 3;
/** Sends that generate; those that no upstream has run do not count as attempts. */
const decodeLimit = 4;
/** A prefill is given up after this multiple of its predicted time, and this many milliseconds more. */
const prefillPatience = 4;
const prefillSlackMs = 600;

/** A stream is not resumed with less time left, in milliseconds: no event would come in time. */
const shortestResumeMs = 100;

/** A prompt that an upstream has read and keeps until it is fetched. */
type ReadPrompt = {
	readonly source: Upstream;
	readonly handle: string;
};

type Prefill
	= | {readonly kind: 'read'; readonly prompt: ReadPrompt}
		/** The prompt was not read; the upstream that generates may read it itself. */
		| {readonly kind: 'unread'}
		| {readonly kind: 'refused'; readonly refusal: PlacementRefusal};

type PromptResult
	= | {readonly kind: 'read'; readonly prompt: ReadPrompt}
		/** The call arrived, or may have, and there is no prompt to be fetched. */
		| {readonly kind: 'failed'}
		| {readonly kind: 'notSent'};

/** Delivers a stream of a model service: one upstream reads the prompt, another one generates the answer. */
export class StreamDelivery extends Delivery {
	#lastEventId: string | undefined;

	async run(): Promise<DeliveryEnd> {
		const prefill = await this.#prefill();
		if (prefill.kind === 'refused') {
			return this.refusePlacement(prefill.refusal);
		}

		return this.#generate(prefill.kind === 'read' ? prefill.prompt : undefined);
	}

	/** Reads the prompt at one upstream; reading it again elsewhere does no harm, since nothing runs yet. */
	async #prefill(): Promise<Prefill> {
		const tried = new Set<string>();
		for (let attempt = 0; attempt < prefillLimit; attempt += 1) {
			const placement = await this.tools.scheduler.placePrefill({...this.demand, tried});
			if (!isPlaced(placement)) {
				return placement.reason === 'overloaded' ? {kind: 'refused', refusal: placement} : {kind: 'unread'};
			}

			if (this.job.signal.aborted || !this.takeArrival()) {
				placement.release({kind: 'cancelled', elapsedMs: 0});
				return {kind: 'unread'};
			}

			tried.add(placement.upstream.id);
			const result = await this.#readPrompt(placement);
			if (result.kind === 'read') {
				// A reading that succeeds does not count; the first send that generates takes its place.
				this.carryArrival();
				return result;
			}

			if (result.kind === 'notSent') {
				this.arrivals -= 1;
			}
		}

		return {kind: 'unread'};
	}

	async #readPrompt(placement: Placement): Promise<PromptResult> {
		const {tools, job} = this;
		const {upstream, fetchFrom} = placement;
		const sentAt = tools.clock.now();
		this.noteSend(placement, 'prefill', {fetchFrom: fetchFrom?.id});
		const result = await callUpstream({
			links: tools.links,
			protocol: tools.protocol,
			upstream,
			wire: tools.protocol.encode({
				request: job.request, upstream, remainingMs: this.upstreamMs, priority: placement.rank, lastEventId: undefined, work: {kind: 'prefill', fetchFrom},
			}),
			timeoutMs: Math.min(this.remainingMs, (placement.predictedMs * prefillPatience) + prefillSlackMs),
			signal: job.signal,
		});
		const elapsedMs = tools.clock.now() - sentAt;
		if (result.kind === 'failed') {
			const end = this.toFailedEnd(result.failure, elapsedMs);
			placement.release(end);
			if (result.failure.kind === 'lost') {
				tools.crashes.connectionLost(job.request, upstream.id);
			}

			this.noteSent(upstream, end.kind, elapsedMs, {cause: result.failure.message});
			return {kind: result.failure.wasSent ? 'failed' : 'notSent'};
		}

		const {answer, body} = result;
		const prompt = answer.status === 200 && (answer.requestId === undefined || answer.requestId === job.request.id)
			? tools.protocol.decodePrefill(body).map(({handle}) => ({source: upstream, handle})).toMaybe().extract()
			: undefined;
		const kind = prompt === undefined ? classifyRejection(answer) ?? 'failed' : 'served';
		placement.release({kind, elapsedMs, load: answer.load});
		this.noteSent(upstream, kind, elapsedMs, {status: answer.status});
		return prompt === undefined ? {kind: 'failed'} : {kind: 'read', prompt};
	}

	async #generate(readPrompt: ReadPrompt | undefined): Promise<DeliveryEnd> {
		let prompt = readPrompt;
		let end: DeliveryEnd | undefined;
		for (let attempt = 0; attempt < decodeLimit && end === undefined; attempt += 1) {
			const placement = this.tools.scheduler.placeDecode(this.demand, prompt?.source);
			if (!isPlaced(placement)) {
				end = this.#stop(() => this.refusePlacement(placement));
				break;
			}

			if (this.job.signal.aborted || !this.takeArrival()) {
				placement.release({kind: 'cancelled', elapsedMs: 0});
				end = this.#stop(() => this.refuse('No further attempt is allowed.', 0));
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
		return end ?? this.#stop(() => this.refuse('No upstream took the request.', 0));
	}

	async #stream(placement: Placement, prompt: ReadPrompt | undefined): Promise<StreamRunEnd> {
		const {tools, job} = this;
		const {upstream} = placement;
		const work: PromptWork = prompt === undefined ? {kind: 'whole'} : {kind: 'decode', ...prompt};
		this.tried.add(upstream.id);
		this.noteSend(placement, work.kind, {after: this.#lastEventId});
		const run = new StreamRun({
			tools,
			job,
			placement,
			wire: tools.protocol.encode({
				request: job.request, upstream, remainingMs: this.upstreamMs, priority: job.route.priority, lastEventId: this.#lastEventId, work,
			}),
			lastEventId: this.#lastEventId,
			mayResume: this.#mayResume,
			mayGiveUp: () => this.mayGiveUpSilent(),
			isOwn: answer => this.isOwn(answer),
			onFirstEvent: () => {
				this.markFirstAnswer();
			},
		});
		const result = await run.run();
		this.#lastEventId = result.lastEventId;
		if (result.mayHaveRun) {
			this.runs += 1;
		} else if (!result.hasArrived) {
			this.arrivals -= 1;
		}

		this.noteSent(upstream, result.kind, result.elapsedMs, {status: result.status, events: result.events, cause: result.message});
		return result;
	}

	/** True while the stream may go on at another upstream after the present one. */
	get #mayResume(): boolean {
		return this.job.route.isResumable && this.runs + 1 < this.job.route.attemptLimit;
	}

	/** Returns the end of the delivery, or undefined when another upstream is to be tried. */
	#decide(result: StreamRunEnd, upstream: Upstream): DeliveryEnd | undefined {
		const {job} = this;
		switch (result.kind) {
			case 'complete': {
				return this.end('delivered', `status ${result.status ?? 200}`);
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
					this.tools.crashes.connectionLost(job.request, upstream.id);
				}

				if (this.isCallerGone) {
					return this.end('callerGone', 'the caller has gone');
				}

				const mayRetry = job.route.isResumable && this.runs < job.route.attemptLimit && !job.signal.aborted && this.remainingMs >= shortestResumeMs;
				return mayRetry ? undefined : this.#finishFailed(result);
			}
		}
	}

	/** Passes on the upstream's own failure when there is one. */
	#finishFailed({failure, message}: StreamRunEnd): DeliveryEnd {
		const {answer, signal} = this.job;
		if (failure !== undefined && !answer.hasBegun && !this.isCallerGone) {
			answer.sendWhole(failure.answer.status, failure.answer.headers, failure.body);
			return this.end('delivered', `status ${failure.answer.status}`);
		}

		return this.#stop(() => this.fail(signal.aborted ? 'expired' : 'badAnswer', message));
	}

	/** Ends the request: a stream that has begun is broken off, one that may have run fails, and any other is refused. */
	#stop(refuse: () => DeliveryEnd): DeliveryEnd {
		if (this.job.answer.hasBegun) {
			this.job.answer.abort();
			return this.end(this.isCallerGone ? 'callerGone' : 'brokenOff', 'the stream could not go on');
		}

		if (this.runs > 0) {
			return this.fail(this.job.signal.aborted ? 'expired' : 'badAnswer', 'The answer of the upstream was lost.');
		}

		return refuse();
	}

	/** Frees a prompt that no one will fetch; it lapses by itself when the call is lost. */
	#releasePrompt(prompt: ReadPrompt | undefined): void {
		if (prompt === undefined) {
			return;
		}

		const {links, protocol} = this.tools;
		void callUpstream({
			links, protocol, upstream: prompt.source, wire: protocol.encodeRelease(prompt.source, prompt.handle), timeoutMs: 1000,
		});
		this.log('prompt.released', {upstream: prompt.source.id});
	}
}
