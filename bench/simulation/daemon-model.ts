import {Admission} from '../../src/process/admission/admission.ts';
import {slotCost, tokenCost, isLongWork} from '../../src/process/admission/cost.ts';
import {ConcurrencyLimit, type TypicalLatency} from '../../src/process/admission/concurrency-limit.ts';
import type {AdmissionDecision, Ticket} from '../../src/process/admission/ticket.ts';
import {LoadTable, type RoutedRequest} from '../../src/process/load/load-table.ts';
import type {Upstream} from '../../src/process/load/upstream-load.ts';
import type {Random} from '../../src/process/random.ts';
import {ShareAllocator, type CustomerUsage} from '../../src/process/shares/share-allocator.ts';
import {HedgePolicy} from '../../src/request/hedge.ts';
import type {EngineRole} from '../../src/stand-ins/engine/engine-work.ts';
import {betweenTokensTargetMs, firstTokenTargetMs} from './outcome.ts';
import {FifoAdmission} from './fifo-admission.ts';
import type {Policy, SimulatedRequest} from './scenario.ts';

/** An attempt of a request at an engine. */
export type Attempt = {
	readonly id: string;
	readonly activeRequest: ActiveRequest;
	readonly engine: string;
	readonly sentAt: number;
	readonly stage: 'whole' | 'prefill' | 'decode';
	readonly resumedTokens: number;
	hasOutput: boolean;
	/** Tokens seen at the last observation. */
	observedTokens: number;
};

/** A request that a daemon has taken. */
export type ActiveRequest = {
	readonly request: SimulatedRequest;
	readonly ticket: Ticket;
	readonly attempts: Map<string, Attempt>;
	attemptCount: number;
	generated: number;
	firstTokenAt: number | undefined;
};

/** What a simulated daemon does to the outside. */
export type DaemonCallbacks = {
	readonly send: (attempt: Attempt) => void;
	readonly cancel: (attempt: Attempt) => void;
	readonly refuse: (request: SimulatedRequest) => void;
	readonly complete: (activeRequest: ActiveRequest) => void;
	readonly transferMs: (promptTokens: number) => number;
	readonly schedule: (delayMs: number, run: () => void) => void;
};

/** Settings of a simulated daemon. */
export type DaemonOptions = {
	readonly index: number;
	readonly availabilityZone: string;
	readonly policy: Policy;
	readonly random: Random;
	readonly daemonCount: number;
	readonly share: (customer: string) => number;
	readonly isDisaggregated: boolean;
	readonly maxQueueMs: number;
};

/** State that a daemon keeps for each model or service. */
type GroupState = {
	readonly admission: Admission | FifoAdmission;
	readonly hedge: HedgePolicy;
	readonly limit: ConcurrencyLimit;
	capacitySlots: number;
	typicalTokens: number;
};

/** An engine as a daemon knows it. */
export type KnownEngine = {
	readonly id: string;
	readonly group: string;
	readonly role: EngineRole;
	readonly availabilityZone: string;
	readonly isAway: boolean;
};

const typicalTokensSmoothing = 0.01;
const initialTypicalTokens = 64;
const patientDeadlineMs = 28_800_000;

/** A daemon that sees only its own requests and late news. */
export class DaemonModel {
	readonly allocator: ShareAllocator;
	readonly loads: LoadTable;
	readonly activeRequests = new Map<string, ActiveRequest>();
	hedges = 0;
	extraTokens = 0;
	servedTokens = 0;
	preemptions = 0;
	readonly #options: DaemonOptions;
	readonly #callbacks: DaemonCallbacks;
	readonly #groups = new Map<string, GroupState>();
	readonly #attempts = new Map<string, Attempt>();
	#engines: readonly KnownEngine[] = [];
	#roundRobinIndex = 0;
	#now = 0;

	constructor(options: DaemonOptions, port: DaemonCallbacks) {
		this.#options = options;
		this.#callbacks = port;
		this.loads = new LoadTable({availabilityZone: options.availabilityZone, random: options.random});
		this.allocator = new ShareAllocator({share: options.share});
		this.allocator.setDaemonCount(options.daemonCount);
	}

	/** Takes the engines and their roles as far as they are known. */
	setEngines(now: number, engines: readonly KnownEngine[]): void {
		this.#engines = engines.filter(({isAway}) => !isAway);
		this.loads.setUpstreams(now, this.#engines.map(({id, group, role, availabilityZone}): Upstream => ({
			id, availabilityZone, group: this.#options.isDisaggregated ? role : group,
		})));
	}

	/** Takes a request of a caller. */
	arrive(now: number, request: SimulatedRequest): void {
		this.#now = now;
		const tokens = tokenCost(request.promptTokens, request.outputTokens);
		const group = this.#group(request);
		const isLong = isLongWork(tokens, group.typicalTokens);
		group.typicalTokens += (Math.min(tokens, group.typicalTokens * 4) - group.typicalTokens) * typicalTokensSmoothing;
		this.allocator.recordArrival(now, {
			customer: request.customer, group: resolveGroup(request), tokens, isLong,
		});
		const ticket: Ticket = {
			id: request.id,
			customer: request.customer,
			workClass: request.workClass,
			tokens,
			slots: slotCost(request.promptTokens),
			isLong,
			arrivedAt: request.at,
			startBy: request.at + (request.workClass === 'live' ? this.#options.maxQueueMs : patientDeadlineMs),
		};
		const activeRequest = {
			request, ticket, attempts: new Map(), attemptCount: 0, generated: 0, firstTokenAt: undefined,
		};
		this.activeRequests.set(request.id, activeRequest);
		this.#applyDecisions(now, group.admission.offer(now, ticket));
	}

	/** Takes the first token of an attempt. */
	firstToken(now: number, id: string): void {
		const attempt = this.#attempts.get(id);
		if (attempt === undefined) {
			return;
		}

		attempt.hasOutput = true;
		const {activeRequest} = attempt;
		const waitedMs = now - attempt.sentAt;
		this.loads.firstToken(now, id, attempt.engine, waitedMs);
		this.#group(activeRequest.request).hedge.recordServed(activeRequest.ticket.tokens, waitedMs - prefillMs(activeRequest.request));
		activeRequest.firstTokenAt ??= now;

		for (const other of activeRequest.attempts.values()) {
			if (other !== attempt && !other.hasOutput) {
				this.#removeAttempt(now, other);
				this.#callbacks.cancel(other);
			}
		}

		this.#applyDecisions(now, this.#group(activeRequest.request).admission.firstToken(now, activeRequest.ticket.id));
	}

	/** Takes the end of an attempt. */
	finished(now: number, id: string): void {
		const attempt = this.#attempts.get(id);
		if (attempt === undefined) {
			return;
		}

		const {activeRequest} = attempt;
		this.#removeAttempt(now, attempt);
		if (attempt.stage === 'prefill' && activeRequest.request.outputTokens > 1) {
			activeRequest.generated = 1;
			this.#callbacks.schedule(this.#callbacks.transferMs(activeRequest.request.promptTokens), () => {
				this.#send(this.#now, activeRequest, 'decode');
			});
			return;
		}

		this.#complete(now, activeRequest);
	}

	/** Sends an attempt again whose engine took no work. */
	rejected(now: number, attempt: Attempt): void {
		this.#removeAttempt(now, attempt);
		this.#send(now, attempt.activeRequest, attempt.stage);
	}

	/** Takes the tokens that running streams of an engine have generated since the last observation. */
	observe(now: number, engine: string, progress: ReadonlyMap<string, number>, intervalMs: number): void {
		let tokens = 0;
		let streams = 0;
		for (const [id, generated] of progress) {
			const attempt = this.#attempts.get(id);
			if (attempt !== undefined && generated > 0) {
				tokens += attempt.observedTokens === 0 ? 0 : generated - attempt.observedTokens;
				streams += attempt.observedTokens === 0 ? 0 : 1;
				attempt.observedTokens = generated;
			}
		}

		if (streams > 0) {
			this.loads.observe(now, engine, tokens, streams * intervalMs);
		}
	}

	/** Expires, resizes and hedges; called at a short interval. */
	tick(now: number, readyEngines: ReadonlyMap<string, number>): void {
		this.#now = now;
		for (const [name, engines] of readyEngines) {
			const group = this.#group({group: name});
			const {admission, limit} = group;
			this.loads.updateLongWorkFraction(now, this.#options.isDisaggregated ? 'prefill' : name, this.allocator.longWorkFraction(now, name));
			limit.update(now, this.#typicalLatency(name), admission.usedSlots / group.capacitySlots);
			group.capacitySlots = engines * limit.slots * this.allocator.capacityFraction(now, name);
			this.#applyDecisions(now, admission.resize(now, group.capacitySlots));
			this.#applyDecisions(now, admission.tick(now));
		}

		if (this.#options.policy.hedging) {
			this.#hedgeSlowAttempts(now);
		}
	}

	/** News of this daemon's demand. */
	news(now: number): readonly CustomerUsage[] {
		return this.allocator.takeLocalUsage(now, customer =>
			this.#groups.values().reduce((sum, {admission}) => sum + admission.waitingTokens(customer), 0));
	}

	#group(request: Pick<SimulatedRequest, 'group'>): GroupState {
		const name = resolveGroup(request);
		let group = this.#groups.get(name);
		if (group === undefined) {
			const admission = this.#options.policy.admission === 'fair'
				? new Admission(0, {weight: customer => this.allocator.weight(this.#now, customer)})
				: new FifoAdmission(0);
			group = {
				admission,
				hedge: new HedgePolicy(),
				limit: new ConcurrencyLimit({betweenTokensMs: betweenTokensTargetMs, firstTokenMs: firstTokenTargetMs}),
				capacitySlots: 1,
				typicalTokens: initialTypicalTokens,
			};
			this.#groups.set(name, group);
		}

		return group;
	}

	/** With a split, first tokens come from one role and the others from the other. */
	#typicalLatency(group: string): TypicalLatency {
		return this.#options.isDisaggregated
			? {msPerToken: this.loads.typicalLatency('decode').msPerToken, firstTokenMs: this.loads.typicalLatency('prefill').firstTokenMs}
			: this.loads.typicalLatency(group);
	}

	#applyDecisions(now: number, decisions: readonly AdmissionDecision[]): void {
		this.#now = now;
		for (const {kind, ticket} of decisions) {
			const activeRequest = this.activeRequests.get(ticket.id);
			if (activeRequest === undefined) {
				continue;
			}

			switch (kind) {
				case 'grant': {
					this.#send(now, activeRequest, this.#options.isDisaggregated ? 'prefill' : 'whole');
					break;
				}

				case 'refuse': {
					this.activeRequests.delete(ticket.id);
					this.#callbacks.refuse(activeRequest.request);
					break;
				}

				case 'preempt': {
					this.preemptions += 1;
					this.#preempt(now, activeRequest);
				}
			}
		}
	}

	#send(now: number, activeRequest: ActiveRequest, stage: Attempt['stage']): void {
		const tried = new Set(activeRequest.attempts.values().map(({engine}) => engine));
		const engine = this.#chooseEngine(now, activeRequest, stage, tried);
		if (engine === undefined) {
			this.#callbacks.schedule(retryMs, () => {
				if (this.activeRequests.has(activeRequest.request.id)) {
					this.#send(this.#now, activeRequest, stage);
				}
			});
			return;
		}

		activeRequest.attemptCount += 1;
		const attempt: Attempt = {
			id: `${activeRequest.request.id}/${activeRequest.attemptCount}`, activeRequest, engine, sentAt: now, stage, resumedTokens: activeRequest.generated, hasOutput: false, observedTokens: 0,
		};
		activeRequest.attempts.set(attempt.id, attempt);
		this.#attempts.set(attempt.id, attempt);
		this.loads.start(now, attempt.id, engine, this.#createRoutedRequest(activeRequest, stage));
		this.#callbacks.send(attempt);
	}

	#chooseEngine(now: number, activeRequest: ActiveRequest, stage: Attempt['stage'], excluded: ReadonlySet<string>): string | undefined {
		if (this.#options.policy.routing === 'load') {
			return this.loads.choose(now, {...this.#createRoutedRequest(activeRequest, stage), excluded});
		}

		const engines = this.#engines.filter(({role, group}) =>
			stage === 'whole' ? group === resolveGroup(activeRequest.request) : role === stage);
		this.#roundRobinIndex += 1;
		return engines[this.#roundRobinIndex % engines.length]?.id;
	}

	#createRoutedRequest({request, ticket, generated}: ActiveRequest, stage: Attempt['stage']): RoutedRequest {
		return {
			group: stage === 'whole' ? resolveGroup(request) : stage,
			promptTokens: stage === 'decode' ? 0 : request.promptTokens + generated,
			outputTokens: stage === 'prefill' ? 1 : request.outputTokens - generated,
			isLong: ticket.isLong && stage !== 'decode',
			prefix: request.prefix,
			prefixTokens: request.prefixTokens,
		};
	}

	#preempt(now: number, activeRequest: ActiveRequest): void {
		for (const attempt of activeRequest.attempts.values()) {
			activeRequest.generated = Math.max(activeRequest.generated, attempt.observedTokens);
			this.#removeAttempt(now, attempt);
			this.#callbacks.cancel(attempt);
		}

		this.#applyDecisions(now, this.#group(activeRequest.request).admission.offer(now, activeRequest.ticket));
	}

	#hedgeSlowAttempts(now: number): void {
		for (const attempt of this.#attempts.values()) {
			const {activeRequest} = attempt;
			const {request, ticket} = activeRequest;
			const candidate = {
				isRepeatable: attempt.stage !== 'decode',
				hasOutput: attempt.hasOutput,
				attempts: activeRequest.attempts.size,
				tokens: ticket.tokens,
				waitedMs: now - attempt.sentAt,
				prefillMs: prefillMs(request),
			};
			if (request.workClass === 'live' && !ticket.isLong && this.#group(request).hedge.shouldHedge(candidate)) {
				this.hedges += 1;
				this.extraTokens += ticket.tokens;
				this.#send(now, activeRequest, attempt.stage);
			}
		}
	}

	#removeAttempt(now: number, attempt: Attempt): void {
		this.loads.finish(now, attempt.id, attempt.engine);
		this.#attempts.delete(attempt.id);
		attempt.activeRequest.attempts.delete(attempt.id);
	}

	#complete(now: number, activeRequest: ActiveRequest): void {
		this.servedTokens += activeRequest.ticket.tokens;
		this.activeRequests.delete(activeRequest.request.id);
		this.#callbacks.complete(activeRequest);
		this.#applyDecisions(now, this.#group(activeRequest.request).admission.finish(now, activeRequest.ticket));
	}
}

const retryMs = 20;
const prefillMsPerToken = 0.08;

function prefillMs({promptTokens}: SimulatedRequest): number {
	return promptTokens * prefillMsPerToken;
}

function resolveGroup({group = 'model'}: Pick<SimulatedRequest, 'group'>): string {
	return group;
}
