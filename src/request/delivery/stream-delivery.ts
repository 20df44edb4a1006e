import {callUpstream} from '../../connection/links/upstream-call.ts';
import type {AttemptResult} from '../../process/crashes/crash-attribution.ts';
import type {PromptWork} from '../../ports/upstream-protocol.ts';
import type {Upstream} from '../../ports/upstream.ts';
import {combineSignals} from '../cancellation.ts';
import {AttemptRace} from './attempt-race.ts';
import {streamSilenceMs} from './caller-patience.ts';
import {classifyRejection, Delivery, type DeliveryResult} from './delivery.ts';
import {StreamRun, type StreamRunResult} from './stream-run.ts';
import {
	isPlaced, type Placement, type PlacementRefusal,
} from './upstream-scheduler.ts';

/** Limit on the sends that prefill the prompt; each one after the first counts as a retry. */
const maxPrefillSends = 3;
/** Limit on the sends that decode; those that no upstream ran do not count towards the route's attempt limit. */
const maxDecodeSends = 4;
/** A prefill times out after this multiple of its predicted time plus the margin. */
const prefillTimeoutFactor = 4;
const prefillTimeoutMarginMs = 600;

/** Time for which a second upstream may run a stream beside a silent one without an event, in milliseconds; by then it has taken or rejected the work. */
const maxOverlapMs = 300;

/** Time without a byte from an upstream that has work after which it is no better than the silent one, in milliseconds; engines make an event in far less. */
const standstillMs = 400;

/** With its own exchange alone, an upstream may be at work on a prompt. */
const minSharedExchanges = 2;
/** Timeout of a report that shows whether an upstream responds, in milliseconds; longer than the overlap that it decides. */
const reportTimeoutMs = 500;

/** Time without a byte at the end of an overlap that shows that its upstream stands still, in milliseconds; a little shorter than the overlap, whose timer may fire early. */
const overlapSilenceMs = 250;

/** Least remaining time to resume a stream, in milliseconds; with less, no event would arrive in time. */
const minResumeTimeMs = 100;

/** A prefilled prompt that its upstream keeps until it is fetched. */
type PrefilledPrompt = {
	readonly source: Upstream;
	readonly handle: string;
};

type PrefillOutcome
	= | {readonly kind: 'read'; readonly prompt: PrefilledPrompt}
		/** The prompt was not prefilled; the upstream that decodes may do so itself. */
		| {readonly kind: 'unread'}
		| {readonly kind: 'refused'; readonly refusal: PlacementRefusal};

type PrefillSendResult
	= | {readonly kind: 'read'; readonly prompt: PrefilledPrompt}
		/** The call reached the upstream, or may have, but there is no prompt to fetch. */
		| {readonly kind: 'failed'}
		| {readonly kind: 'notSent'};

/** Result of a run; `hasPrompt`: it was to fetch the prefilled prompt. */
type EndedRun = StreamRunResult & {readonly hasPrompt: boolean};

/** Delivers a stream of a model service: one upstream runs the prefill, another one the decode. */
export class StreamDelivery extends Delivery {
	readonly #race = new AttemptRace<EndedRun>();
	/** Runs in progress: one, or more while nothing is heard of the first. */
	readonly #runs = new Map<StreamRun, Placement>();
	/** Places of runs of which nothing has been heard for too long. */
	readonly #silent = new Set<Placement>();
	/** Place of the run that was started last; a further one is tried only when nothing is heard of this one. */
	#latest: Placement | undefined;
	#decodeSends = 0;
	/** Sends that offered the prompt's handle. */
	#promptSends = 0;
	#prompt: PrefilledPrompt | undefined;
	/** Error answer of an upstream, passed on if nothing else can be. */
	#failure: StreamRunResult['failure'];
	/** Id of the last complete event that was sent to the caller. */
	#lastEventId: string | undefined;
	/** Result of the last run that an upstream may have begun. */
	#lastRun: StreamRunResult | undefined;

	protected override async deliver(): Promise<DeliveryResult> {
		const whole = this.dependencies.scheduler.placeWhole(this.demand);
		if (whole !== undefined) {
			return this.#generate(undefined, whole);
		}

		const prefill = await this.#prefill();
		if (prefill.kind === 'refused') {
			return this.refusePlacement(prefill.refusal);
		}

		return this.#generate(prefill.kind === 'read' ? prefill.prompt : undefined, undefined);
	}

	/** Prefills the prompt at one upstream; this can safely be repeated at another one, because it does not run the request. */
	async #prefill(): Promise<PrefillOutcome> {
		const tried = new Set<string>();
		for (let attempt = 0; attempt < maxPrefillSends; attempt += 1) {
			const placement = await this.dependencies.scheduler.placePrefill({...this.demand, triedUpstreams: tried});
			if (!isPlaced(placement)) {
				return placement.reason === 'overloaded' ? {kind: 'refused', refusal: placement} : {kind: 'unread'};
			}

			if (this.job.startSignal.aborted || !this.reserveSend()) {
				placement.release({kind: 'cancelled', elapsedMs: 0});
				return {kind: 'unread'};
			}

			tried.add(placement.upstream.id);
			const result = await this.#sendPrefill(placement);
			if (result.kind === 'read') {
				// A successful prefill is not counted on its own: the first send that decodes uses its reservation.
				this.carryReservation();
				return result;
			}

			if (result.kind === 'notSent') {
				this.reservedSends -= 1;
			}
		}

		return {kind: 'unread'};
	}

	async #sendPrefill(placement: Placement): Promise<PrefillSendResult> {
		const {dependencies, job} = this;
		const {upstream, fetchFrom} = placement;
		const sentAt = dependencies.clock.now();
		this.recordSend(placement, 'prefill', {fetchFrom: fetchFrom?.id});
		const endAttempt = this.beginAttempt(upstream);
		const result = await callUpstream({
			upstreamClients: dependencies.upstreamClients,
			protocol: dependencies.protocol,
			upstream,
			wire: dependencies.protocol.encode({
				request: job.request, upstream, remainingMs: this.upstreamRemainingMs, priority: placement.rank, lastEventId: undefined, account: job.account, work: {kind: 'prefill', fetchFrom},
			}),
			timeoutMs: Math.min(this.remainingMs, (placement.predictedMs * prefillTimeoutFactor) + prefillTimeoutMarginMs),
			// Prefills are answered with or without the id of the request.
			isOwnAnswer: (head, isReused) => this.isOwnAnswer(head, isReused) || (head.requestId === undefined && head.status === 200),
			signal: job.signal,
			shouldStart: () => this.hasAccess,
		});
		const elapsedMs = dependencies.clock.now() - sentAt;
		if (result.kind === 'failed') {
			const sendResult = this.classifyFailure(result.failure, elapsedMs);
			endAttempt(result.failure.kind === 'lost' ? 'lost' : 'other');
			placement.release(sendResult);
			this.logSendResult(upstream, sendResult.kind, elapsedMs, {cause: result.failure.message});
			return {kind: result.failure.wasSent ? 'failed' : 'notSent'};
		}

		// A request that crashes upstreams may do so only when it generates, so a read prompt does not clear it.
		endAttempt('other');
		const {answer, body, isOwn} = result;
		const prompt = answer.status === 200 && isOwn
			? dependencies.protocol.decodePrefill(body).map(({handle}) => ({source: upstream, handle})).toMaybe().extract()
			: undefined;
		const failureKind = isOwn ? classifyRejection(answer) ?? 'failed' : 'lost';
		const kind = prompt === undefined ? failureKind : 'served';
		placement.release({kind, elapsedMs, load: answer.load});
		this.logSendResult(upstream, kind, elapsedMs, {status: answer.status});
		return prompt === undefined ? {kind: 'failed'} : {kind: 'read', prompt};
	}

	/** Runs the request until it ends; `firstPlacement` is the place of the first send, if it has been chosen already. */
	async #generate(prefilledPrompt: PrefilledPrompt | undefined, firstPlacement: Placement | undefined): Promise<DeliveryResult> {
		this.#prompt = prefilledPrompt;
		try {
			return await this.#runUntilEnd(firstPlacement);
		} finally {
			for (const run of this.#runs.keys()) {
				run.cancel('cancelled', 'the stream has ended');
			}

			this.#releasePrompt(this.#prompt);
		}
	}

	async #runUntilEnd(firstPlacement: Placement | undefined): Promise<DeliveryResult> {
		let isSilent = false;
		for (let placement = firstPlacement; ; placement = undefined) {
			if (this.#race.size === 0 || (isSilent && this.#mayRunBeside)) {
				const refuse = await this.#start(placement);
				if (this.#race.size === 0) {
					return this.#endUnfinished(refuse ?? (() => this.refuse('No upstream took the request.', 0)));
				}
			}

			const result = await this.#race.next();
			isSilent = result === 'silent' || result.kind !== 'cancelled';
			const end = result === 'silent' ? undefined : this.#handleResult(result);
			if (end !== undefined) {
				return end;
			}
		}
	}

	/** Takes the result of a run; returns the result of the delivery, or undefined when it goes on. */
	#handleResult({hasPrompt, ...result}: EndedRun): DeliveryResult | undefined {
		if (hasPrompt && result.mayHaveRun) {
			this.#prompt = undefined;
		} else if (hasPrompt && (this.#promptSends > 1 || result.kind === 'misdirected')) {
			// A handle that one upstream could not fetch is offered to one more and then released; after a misdirected send, at once.
			this.#releasePrompt(this.#prompt);
			this.#prompt = undefined;
		}

		this.#failure = result.failure ?? this.#failure;
		return this.#race.size > 0 && result.kind !== 'complete' ? undefined : this.#decide(result);
	}

	/** True if another upstream may run the stream beside one of which nothing is heard. */
	get #mayRunBeside(): boolean {
		return this.job.route.isResumable
			&& this.#decodeSends < maxDecodeSends
			&& this.possibleRuns + this.#race.size < this.job.route.attemptLimit
			&& this.remainingMs >= minResumeTimeMs
			&& this.dependencies.scheduler.hasUntriedUpstream({...this.demand, triedUpstreams: this.#unusable});
	}

	/** Upstreams that must not run the stream beside another one: tried ones, and those that stand still themselves. */
	get #unusable(): ReadonlySet<string> {
		return new Set([...this.triedUpstreams, ...this.dependencies.upstreamClients.silentUpstreams(standstillMs)]);
	}

	/** Starts a run; returns the refusal to give if none is in progress. */
	async #start(chosen: Placement | undefined): Promise<(() => DeliveryResult) | undefined> {
		if (this.#decodeSends >= maxDecodeSends) {
			return undefined;
		}

		const isFirst = this.#race.size === 0;
		using signals = combineSignals(this.job.startSignal, isFirst ? undefined : this.#race.silenceSignal());
		const {signal} = signals;
		// The upstream of a run in progress may have fetched the prompt.
		const prompt = isFirst ? this.#prompt : undefined;
		const placement = chosen ?? await this.dependencies.scheduler.placeDecode({...this.demand, signal, ...(isFirst ? {} : {triedUpstreams: this.#unusable})}, prompt?.source);
		if (!isPlaced(placement)) {
			return () => this.refusePlacement(placement);
		}

		if (signal.aborted || !this.reserveSend()) {
			placement.release({kind: 'cancelled', elapsedMs: 0});
			return () => this.refuseUnreserved();
		}

		for (const silent of this.#silent) {
			silent.reportSilence();
		}

		this.#silent.clear();
		this.#latest = placement;
		this.#decodeSends += 1;
		this.#promptSends += prompt === undefined ? 0 : 1;
		this.#race.add(this.#stream(placement, prompt));
		return undefined;
	}

	async #stream(placement: Placement, prompt: PrefilledPrompt | undefined): Promise<EndedRun> {
		const {dependencies, job} = this;
		const {upstream} = placement;
		const work: PromptWork = prompt === undefined ? {kind: 'whole'} : {kind: 'decode', ...prompt};
		this.triedUpstreams.add(upstream.id);
		this.recordSend(placement, work.kind, {after: this.#lastEventId});
		let takeover: NodeJS.Timeout | undefined;
		const run: StreamRun = new StreamRun({
			dependencies,
			job,
			placement,
			wire: dependencies.protocol.encode({
				request: job.request, upstream, remainingMs: this.upstreamRemainingMs, priority: job.route.priority, lastEventId: this.#lastEventId, account: job.account, work,
			}),
			shouldStart: () => this.hasAccess && job.open.beginSend(),
			isAuthenticAnswer: (answer, isReused) => this.isAuthenticAnswer(answer, isReused),
			onStarted: () => {
				if (this.#runs.size > 1) {
					takeover = setTimeout(() => {
						this.#endOverlap(run, upstream);
					}, maxOverlapMs);
					void this.#requestReport(upstream);
				}
			},
			onProgress: () => {
				this.#silent.delete(placement);
				this.#race.reportProgress();
				this.#cancelOthers(run);
			},
			onEvent: id => {
				this.#lastEventId = id ?? this.#lastEventId;
			},
			onFirstEvent: () => {
				placement.reportFirstEvent();
				this.markFirstAnswer();
			},
			onSilent: () => {
				this.#silent.add(placement);
				if (this.#latest === placement) {
					this.#race.reportSilence();
				}
			},
			silenceMs: streamSilenceMs(job.route),
		});
		this.#runs.set(run, placement);
		const endAttempt = this.beginAttempt(upstream);
		const result = await run.run();
		clearTimeout(takeover);
		this.#runs.delete(run);
		this.#silent.delete(placement);
		if (result.mayHaveArrived) {
			job.open.endSend(result.mayHaveRun);
		}

		endAttempt(toAttemptResult(result));
		if (result.mayHaveRun) {
			this.#lastRun = result;
			this.possibleRuns += 1;
		} else if (!result.mayHaveArrived) {
			this.reservedSends -= 1;
		}

		this.logSendResult(upstream, result.kind, result.elapsedMs, {status: result.status, events: result.events, cause: result.message});
		return {...result, hasPrompt: prompt !== undefined};
	}

	/** Ends the overlap of a run with earlier ones before it has sent an event: the earlier ones are given up, unless its upstream has fallen silent too. */
	#endOverlap(run: StreamRun, {id}: Upstream): void {
		if (this.dependencies.upstreamClients.silentUpstreams(overlapSilenceMs, minSharedExchanges).includes(id)) {
			run.cancel('cancelled', 'the upstream stands still as well');
		} else {
			this.#cancelOthers(run);
		}
	}

	/** Requests a report from an upstream that has nothing else to answer; the answer shows that it does not stand still. */
	async #requestReport(upstream: Upstream): Promise<void> {
		const {upstreamClients, protocol, backpressure} = this.dependencies;
		if (upstreamClients.countExchanges(upstream.id) < minSharedExchanges) {
			backpressure.count(upstream.id);
			await callUpstream({
				upstreamClients, protocol, upstream, wire: protocol.encodeReportRequest(upstream), timeoutMs: reportTimeoutMs,
			});
		}
	}

	/** Cancels the runs beside the one that is heard of, so that no event reaches the caller twice. */
	#cancelOthers(heard: StreamRun): void {
		for (const run of this.#runs.keys()) {
			if (run !== heard) {
				run.cancel('cancelled', 'another upstream has taken over the stream');
			}
		}
	}

	/** Returns the result of the delivery, or undefined when another upstream should be tried. */
	#decide(result: StreamRunResult): DeliveryResult | undefined {
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
				if (this.isCallerGone) {
					return this.createResult('callerGone', 'the caller disconnected');
				}

				const mayRetry = job.route.isResumable && this.possibleRuns < job.route.attemptLimit && !job.startSignal.aborted && this.remainingMs >= minResumeTimeMs;
				return mayRetry ? undefined : this.#finishFailed(result);
			}
		}
	}

	/** Passes on the upstream's own error answer, if there is one. */
	#finishFailed({message}: StreamRunResult): DeliveryResult {
		const {answer, signal} = this.job;
		const failure = this.#failure;
		// A caller would repeat a stream that may have run if the status promised that it has not.
		const isMisleading = failure?.answer.promisesNotRun === true && !this.job.route.isResumable;
		if (failure !== undefined && !isMisleading && !answer.hasBegun && !this.isCallerGone) {
			answer.sendComplete(failure.answer.status, failure.answer.headers, failure.body);
			return this.createResult('delivered', `status ${failure.answer.status}`);
		}

		return this.#endUnfinished(() => this.hasAccess ? this.fail(signal.aborted ? 'expired' : 'badAnswer', message) : this.refuse('The access of the caller has ended.', 0));
	}

	/** Ends a request without a complete answer: aborts a stream that has begun, fails a request that may have run, refuses any other. */
	#endUnfinished(refuse: () => DeliveryResult): DeliveryResult {
		if (this.job.answer.hasBegun) {
			this.job.answer.abort();
			const {kind = 'lost', message = ''} = this.#lastRun ?? {};
			return {
				...this.createResult(this.isCallerGone ? 'callerGone' : 'brokenOff', `the stream was aborted before its end: ${kind}, ${message}`),
				isCutByUpstream: kind === 'lost' || kind === 'failed' || this.job.signal.aborted,
			};
		}

		if (this.possibleRuns > 0) {
			return this.fail(this.job.signal.aborted ? 'expired' : 'badAnswer', 'The answer of the upstream was lost.');
		}

		return refuse();
	}

	/** Releases a prompt that will not be fetched; it expires by itself if this call is lost. */
	#releasePrompt(prompt: PrefilledPrompt | undefined): void {
		if (prompt === undefined || this.dependencies.backpressure.isPaused(prompt.source.id)) {
			return;
		}

		this.dependencies.backpressure.count(prompt.source.id);
		void this.#sendRelease(prompt);
		this.log('prompt.released', {upstream: prompt.source.id});
	}

	/** Nothing waits for this call; an error that left it would end the process. */
	async #sendRelease({source, handle}: PrefilledPrompt): Promise<void> {
		const {upstreamClients, protocol} = this.dependencies;
		try {
			await callUpstream({
				upstreamClients, protocol, upstream: source, wire: protocol.encodeReleaseRequest(source, handle), timeoutMs: 1000,
			});
		} catch (error) {
			this.log('request.crashed', {cause: error instanceof Error ? error.stack : String(error)});
		}
	}
}

function toAttemptResult({kind, isFramed, isConnectionLost, mayHaveRun}: StreamRunResult): AttemptResult {
	if (kind === 'complete') {
		return isFramed ? 'complete' : 'unframed';
	}

	return isConnectionLost && mayHaveRun ? 'lost' : 'other';
}
