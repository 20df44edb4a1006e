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
import {PlainQueue} from './plain-queue.ts';
import type {Policy, SimulatedRequest} from './scenario.ts';

/** An attempt to run a request, or one stage of it, on an engine. */
export type Attempt = {
	readonly id: string;
	readonly flight: Flight;
	readonly engine: string;
	readonly sentAt: number;
	readonly part: 'whole' | 'prefill' | 'decode';
	/** Tokens that earlier attempts generated, from which this one resumes. */
	readonly resumedTokens: number;
	hasOutput: boolean;
	/** Tokens generated up to the last observation. */
	seen: number;
};

/** A request that a daemon has received and neither finished nor refused. */
export type Flight = {
	readonly request: SimulatedRequest;
	readonly ticket: Ticket;
	readonly attempts: Map<string, Attempt>;
	attemptCount: number;
	/** Tokens that the next attempt needn't generate again. */
	generated: number;
	firstTokenAt: number | undefined;
};

/** Effects of a simulated daemon, provided by the simulation. */
export type DaemonPort = {
	readonly send: (attempt: Attempt) => void;
	readonly cancel: (attempt: Attempt) => void;
	readonly refuse: (request: SimulatedRequest) => void;
	readonly done: (flight: Flight) => void;
	/** Time to transfer the KV cache of a prompt between engines, in milliseconds. */
	readonly transferMs: (promptTokens: number) => number;
	readonly later: (delayMs: number, run: () => void) => void;
};

/** Settings of a simulated daemon. */
export type DaemonOptions = {
	readonly index: number;
	readonly availabilityZone: string;
	readonly policy: Policy;
	readonly random: Random;
	readonly daemons: number;
	readonly share: (customer: string) => number;
	/** True when prefill and decode run on different engines. */
	readonly isSplit: boolean;
	/** Time that live work may wait for admission, in milliseconds. */
	readonly queueMs: number;
};

/** State that a daemon keeps for each model or service. */
type GroupState = {
	readonly admission: Admission | PlainQueue;
	readonly hedge: HedgePolicy;
	readonly limit: ConcurrencyLimit;
	room: number;
	usualTokens: number;
};

/** An engine as a daemon sees it. */
export type KnownEngine = {
	readonly id: string;
	readonly group: string;
	readonly role: EngineRole;
	readonly zone: string;
	readonly isAway: boolean;
};

const usualTokensSmoothing = 0.01;
const firstUsualTokens = 64;
/** Time within which patient work must start: 8 hours. */
const patientDeadlineMs = 28_800_000;

/** Runs the decision modules of a daemon, which knows only its own requests and delayed reports and gossip about everything else. */
export class DaemonModel {
	readonly allocator: ShareAllocator;
	readonly loads: LoadTable;
	readonly flights = new Map<string, Flight>();
	hedges = 0;
	extraTokens = 0;
	servedTokens = 0;
	preemptions = 0;
	readonly #options: DaemonOptions;
	readonly #port: DaemonPort;
	readonly #groups = new Map<string, GroupState>();
	readonly #attempts = new Map<string, Attempt>();
	#engines: readonly KnownEngine[] = [];
	#turn = 0;
	#now = 0;

	constructor(options: DaemonOptions, port: DaemonPort) {
		this.#options = options;
		this.#port = port;
		this.loads = new LoadTable({availabilityZone: options.availabilityZone, random: options.random});
		this.allocator = new ShareAllocator({share: options.share});
		this.allocator.setDaemonCount(options.daemons);
	}

	/** Updates the engines and their roles; unavailable engines get no requests. */
	setEngines(now: number, engines: readonly KnownEngine[]): void {
		this.#engines = engines.filter(({isAway}) => !isAway);
		this.loads.setUpstreams(now, this.#engines.map(({id, group, role, zone}): Upstream => ({
			id, availabilityZone: zone, group: this.#options.isSplit ? role : group,
		})));
	}

	/** Receives a request from a caller and offers it to admission. */
	arrive(now: number, request: SimulatedRequest): void {
		this.#now = now;
		const tokens = tokenCost(request.promptTokens, request.outputTokens);
		const group = this.#group(request);
		const isLong = isLongWork(tokens, group.usualTokens);
		group.usualTokens += (Math.min(tokens, group.usualTokens * 4) - group.usualTokens) * usualTokensSmoothing;
		this.allocator.recordArrival(now, {
			customer: request.customer, group: groupOf(request), tokens, isLong,
		});
		const ticket: Ticket = {
			id: request.id,
			customer: request.customer,
			workClass: request.workClass,
			tokens,
			slots: slotCost(request.promptTokens),
			isLong,
			arrivedAt: request.at,
			startBy: request.at + (request.workClass === 'live' ? this.#options.queueMs : patientDeadlineMs),
		};
		const flight = {
			request, ticket, attempts: new Map(), attemptCount: 0, generated: 0, firstTokenAt: undefined,
		};
		this.flights.set(request.id, flight);
		this.#apply(now, group.admission.offer(now, ticket));
	}

	/** Handles the first token of an attempt and cancels the other attempts of the request that have no output yet. */
	firstToken(now: number, id: string): void {
		const attempt = this.#attempts.get(id);
		if (attempt === undefined) {
			return;
		}

		attempt.hasOutput = true;
		const {flight} = attempt;
		const waitedMs = now - attempt.sentAt;
		this.loads.firstToken(now, id, attempt.engine, waitedMs);
		this.#group(flight.request).hedge.recordServed(flight.ticket.tokens, waitedMs - prefillMs(flight.request));
		flight.firstTokenAt ??= now;

		for (const other of flight.attempts.values()) {
			if (other !== attempt && !other.hasOutput) {
				this.#drop(now, other);
				this.#port.cancel(other);
			}
		}

		this.#apply(now, this.#group(flight.request).admission.firstToken(now, flight.ticket.id));
	}

	/** Handles the end of an attempt; after prefill, decode starts on another engine once the KV cache has been transferred. */
	finished(now: number, id: string): void {
		const attempt = this.#attempts.get(id);
		if (attempt === undefined) {
			return;
		}

		const {flight} = attempt;
		this.#drop(now, attempt);
		if (attempt.part === 'prefill' && flight.request.outputTokens > 1) {
			flight.generated = 1;
			this.#port.later(this.#port.transferMs(flight.request.promptTokens), () => {
				this.#send(this.#now, flight, 'decode');
			});
			return;
		}

		this.#end(now, flight);
	}

	/** Retries an attempt that its engine rejected. */
	rejected(now: number, attempt: Attempt): void {
		this.#drop(now, attempt);
		this.#send(now, attempt.flight, attempt.part);
	}

	/** Handles the tokens that the streams of an engine have generated so far; their growth since the last observation gives its time per token. */
	observe(now: number, engine: string, progress: ReadonlyMap<string, number>, intervalMs: number): void {
		let tokens = 0;
		let streams = 0;
		for (const [id, generated] of progress) {
			const attempt = this.#attempts.get(id);
			if (attempt !== undefined && generated > 0) {
				tokens += attempt.seen === 0 ? 0 : generated - attempt.seen;
				streams += attempt.seen === 0 ? 0 : 1;
				attempt.seen = generated;
			}
		}

		if (streams > 0) {
			this.loads.observe(now, engine, tokens, streams * intervalMs);
		}
	}

	/** Resizes the admission capacity, expires waiting requests and hedges slow attempts; called at a short interval. */
	tick(now: number, readyEngines: ReadonlyMap<string, number>): void {
		this.#now = now;
		for (const [name, engines] of readyEngines) {
			const group = this.#group({group: name});
			const {admission, limit} = group;
			this.loads.updateLongWorkFraction(now, this.#options.isSplit ? 'prefill' : name, this.allocator.longWorkFraction(now, name));
			limit.update(now, this.#typicalLatency(name), admission.usedSlots / group.room);
			group.room = engines * limit.slots * this.allocator.capacityFraction(now, name);
			this.#apply(now, admission.resize(now, group.room));
			this.#apply(now, admission.tick(now));
		}

		if (this.#options.policy.hedging) {
			this.#hedgeSlow(now);
		}
	}

	/** Returns this daemon's usage by customer, as gossip for the other daemons. */
	news(now: number): readonly CustomerUsage[] {
		return this.allocator.takeLocalUsage(now, customer =>
			this.#groups.values().reduce((sum, {admission}) => sum + admission.waitingTokens(customer), 0));
	}

	#group(request: Pick<SimulatedRequest, 'group'>): GroupState {
		const name = groupOf(request);
		let group = this.#groups.get(name);
		if (group === undefined) {
			const admission = this.#options.policy.admission === 'fair'
				? new Admission(0, {weight: customer => this.allocator.weight(this.#now, customer)})
				: new PlainQueue(0);
			group = {
				admission,
				hedge: new HedgePolicy(),
				limit: new ConcurrencyLimit({betweenTokensMs: betweenTokensTargetMs, firstTokenMs: firstTokenTargetMs}),
				room: 1,
				usualTokens: firstUsualTokens,
			};
			this.#groups.set(name, group);
		}

		return group;
	}

	/** When prefill and decode run on different engines, first tokens come from the prefill engines and the others from the decode engines. */
	#typicalLatency(group: string): TypicalLatency {
		return this.#options.isSplit
			? {msPerToken: this.loads.typicalLatency('decode').msPerToken, firstTokenMs: this.loads.typicalLatency('prefill').firstTokenMs}
			: this.loads.typicalLatency(group);
	}

	#apply(now: number, decisions: readonly AdmissionDecision[]): void {
		this.#now = now;
		for (const {kind, ticket} of decisions) {
			const flight = this.flights.get(ticket.id);
			if (flight === undefined) {
				continue;
			}

			switch (kind) {
				case 'grant': {
					this.#send(now, flight, this.#options.isSplit ? 'prefill' : 'whole');
					break;
				}

				case 'refuse': {
					this.flights.delete(ticket.id);
					this.#port.refuse(flight.request);
					break;
				}

				case 'preempt': {
					this.preemptions += 1;
					this.#preempt(now, flight);
				}
			}
		}
	}

	#send(now: number, flight: Flight, part: Attempt['part']): void {
		const tried = new Set(flight.attempts.values().map(({engine}) => engine));
		const engine = this.#choose(now, flight, part, tried);
		if (engine === undefined) {
			this.#port.later(retryMs, () => {
				if (this.flights.has(flight.request.id)) {
					this.#send(this.#now, flight, part);
				}
			});
			return;
		}

		flight.attemptCount += 1;
		const attempt: Attempt = {
			id: `${flight.request.id}/${flight.attemptCount}`, flight, engine, sentAt: now, part, resumedTokens: flight.generated, hasOutput: false, seen: 0,
		};
		flight.attempts.set(attempt.id, attempt);
		this.#attempts.set(attempt.id, attempt);
		this.loads.start(now, attempt.id, engine, this.#routed(flight, part));
		this.#port.send(attempt);
	}

	#choose(now: number, flight: Flight, part: Attempt['part'], excluded: ReadonlySet<string>): string | undefined {
		if (this.#options.policy.routing === 'load') {
			return this.loads.choose(now, {...this.#routed(flight, part), excluded});
		}

		const engines = this.#engines.filter(({role, group}) =>
			part === 'whole' ? group === groupOf(flight.request) : role === part);
		this.#turn += 1;
		return engines[this.#turn % engines.length]?.id;
	}

	#routed({request, ticket, generated}: Flight, part: Attempt['part']): RoutedRequest {
		return {
			group: part === 'whole' ? groupOf(request) : part,
			promptTokens: part === 'decode' ? 0 : request.promptTokens + generated,
			outputTokens: part === 'prefill' ? 1 : request.outputTokens - generated,
			isLong: ticket.isLong && part !== 'decode',
			prefix: request.prefix,
			prefixTokens: request.prefixTokens,
		};
	}

	#preempt(now: number, flight: Flight): void {
		for (const attempt of flight.attempts.values()) {
			flight.generated = Math.max(flight.generated, attempt.seen);
			this.#drop(now, attempt);
			this.#port.cancel(attempt);
		}

		this.#apply(now, this.#group(flight.request).admission.offer(now, flight.ticket));
	}

	#hedgeSlow(now: number): void {
		for (const attempt of this.#attempts.values()) {
			const {flight} = attempt;
			const {request, ticket} = flight;
			const candidate = {
				isRepeatable: attempt.part !== 'decode',
				hasOutput: attempt.hasOutput,
				attempts: flight.attempts.size,
				tokens: ticket.tokens,
				waitedMs: now - attempt.sentAt,
				prefillMs: prefillMs(request),
			};
			if (request.workClass === 'live' && !ticket.isLong && this.#group(request).hedge.shouldHedge(candidate)) {
				this.hedges += 1;
				this.extraTokens += ticket.tokens;
				this.#send(now, flight, attempt.part);
			}
		}
	}

	#drop(now: number, attempt: Attempt): void {
		this.loads.finish(now, attempt.id, attempt.engine);
		this.#attempts.delete(attempt.id);
		attempt.flight.attempts.delete(attempt.id);
	}

	#end(now: number, flight: Flight): void {
		this.servedTokens += flight.ticket.tokens;
		this.flights.delete(flight.request.id);
		this.#port.done(flight);
		this.#apply(now, this.#group(flight.request).admission.finish(now, flight.ticket));
	}
}

const retryMs = 20;
const prefillMsPerToken = 0.08;

function prefillMs({promptTokens}: SimulatedRequest): number {
	return promptTokens * prefillMsPerToken;
}

function groupOf({group = 'model'}: Pick<SimulatedRequest, 'group'>): string {
	return group;
}
