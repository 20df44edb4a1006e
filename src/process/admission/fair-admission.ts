import {Left, Right, type Either} from 'purify-ts';
import {Admission as RequestAdmission, type Ticket as RequestTicket} from '../../request/admission.ts';
import {AttemptListener, type Attempt} from '../../request/attempt-listener.ts';
import {createRefusal, type CallerError} from '../../request/caller-error.ts';
import type {CancelReason} from '../../request/cancellation.ts';
import {noUpstream} from '../../request/failure.ts';
import type {RequestDemand} from '../../request/request-demand.ts';
import type {Contract} from '../../version/contract.ts';
import type {Clock} from '../clock.ts';
import type {ShareAllocator} from '../shares/share-allocator.ts';
import {estimateSize} from '../load/request-size.ts';
import {Admission} from './admission.ts';
import {slotCost, tokenCost, isLongWork} from './cost.ts';
import {ConcurrencyLimit, type TypicalLatency} from './concurrency-limit.ts';
import type {AdmissionDecision, RefusalReason, Ticket} from './ticket.ts';

/** What admission reads from the rest of the daemon. */
export type FairAdmissionOptions = {
	readonly clock: Clock;
	readonly contract: (customer: string) => Contract | undefined;
	/** Returns the typical latencies of the engines that serve a model. */
	readonly typicalLatency: (model: string) => TypicalLatency;
	/** Initial number of slots per engine, until the concurrency limit has adapted to the time between tokens. */
	readonly engineSlots: number;
	/** Returns the number of engines that serve a model. */
	readonly engines: (model: string) => number;
	/** Determines the fractions of shares and capacity that fall to this daemon. */
	readonly allocator: ShareAllocator;
};

type ModelState = {
	readonly admission: Admission;
	readonly limit: ConcurrencyLimit;
	typicalTokens: number;
	capacitySlots: number;
};

type OpenRequest = {
	readonly model: string;
	readonly preemption: AbortController;
	readonly settle: (answer: Either<CallerError, RequestTicket>) => void;
};

const defaultTargets = {firstTokenMs: 740, betweenTokensMs: 38, queueMs: 2000};
const defaultPatientDeadlineS = 28_800;
/** Maximum number of slots per engine, as a multiple of the `engineSlots` option. */
const maxSlotsRatio = 4;
const initialTypicalTokens = 64;
const typicalTokensSmoothing = 0.01;
/** Costs above this multiple of the typical cost are capped before they enter the average. */
const maxTypicalRatio = 4;

/** Admits requests to models by share, class and size, within the fraction of the capacity that falls to this daemon. */
export class FairAdmission extends RequestAdmission {
	/** Frees the slots that a request used for prefill, at the first byte of its answer. */
	readonly listener: AttemptListener;
	readonly #options: FairAdmissionOptions;
	readonly #models = new Map<string, ModelState>();
	readonly #openRequests = new Map<string, OpenRequest>();
	readonly #ticketIds = new WeakMap<RequestDemand, string>();
	#ticketCount = 0;

	constructor(options: FairAdmissionOptions) {
		super();
		this.#options = options;
		this.listener = new FirstByteListener(demand => {
			this.#handleFirstByte(demand);
		});
	}

	async acquire(demand: RequestDemand, signal: AbortSignal): Promise<Either<CallerError, RequestTicket>> {
		const {call, serviceClass} = demand;
		if (call.kind === 'service') {
			return Right({
				enginePriority: serviceClass === 'live' ? 0 : 1,
				release() {
					// Requests to plain services are not queued and use no slots.
				},
			});
		}

		const {promise, resolve} = Promise.withResolvers<Either<CallerError, RequestTicket>>();
		const now = this.#options.clock.now();
		const ticket = this.#createTicket(now, demand, call.model);
		const cancel = () => {
			this.#finish(call.model, ticket);
			resolve(Left(createRefusal(503, 'cancelled_in_queue', 'The request ended before it was admitted.')));
		};

		this.#openRequests.set(ticket.id, {
			model: call.model,
			preemption: new AbortController(),
			settle(answer) {
				signal.removeEventListener('abort', cancel);
				resolve(answer);
			},
		});
		signal.addEventListener('abort', cancel, {once: true});
		this.#apply(this.#getOrCreateModel(call.model).admission.offer(now, ticket));
		return promise;
	}

	/** Returns the tokens of a customer that wait for admission. */
	waitingTokens(customer: string): number {
		return this.#models.values().reduce((sum, {admission}) => sum + admission.waitingTokens(customer), 0);
	}

	/** Adapts the capacity, refuses requests that have expired or whose model has no engine any more, and grants those that fit; called every 50 ms. */
	tick(): void {
		const now = this.#options.clock.now();
		for (const [name, model] of this.#models) {
			model.limit.update(now, this.#options.typicalLatency(name), model.admission.usedSlots / model.capacitySlots);
			model.capacitySlots = this.#capacityFor(name, model.limit);
			this.#apply(model.admission.resize(now, model.capacitySlots));
			// Behind running work they would wait in vain, patient work for hours.
			this.#apply(this.#options.engines(name) === 0 ? model.admission.refuseWaiting(now) : model.admission.tick(now));
		}
	}

	#capacityFor(name: string, limit: ConcurrencyLimit): number {
		const {allocator, clock, engines} = this.#options;
		return Math.max(1, limit.slots * engines(name) * allocator.capacityFraction(clock.now(), name));
	}

	#getOrCreateModel(name: string): ModelState {
		let model = this.#models.get(name);
		if (model === undefined) {
			const limit = new ConcurrencyLimit({
				...defaultTargets, initialSlots: this.#options.engineSlots, maxSlots: this.#options.engineSlots * maxSlotsRatio,
			});
			const capacitySlots = this.#capacityFor(name, limit);
			const {allocator, clock} = this.#options;
			const weight = (customer: string) => allocator.weight(clock.now(), customer);
			model = {
				admission: new Admission(capacitySlots, {weight}), limit, typicalTokens: initialTypicalTokens, capacitySlots,
			};
			this.#models.set(name, model);
		}

		return model;
	}

	#createTicket(now: number, demand: RequestDemand, name: string): Ticket {
		const {promptTokens, outputTokens} = estimateSize(demand);
		const {customer, serviceClass} = demand;
		const model = this.#getOrCreateModel(name);
		const tokens = tokenCost(promptTokens, outputTokens);
		const isLong = isLongWork(tokens, model.typicalTokens);
		model.typicalTokens += (Math.min(tokens, model.typicalTokens * maxTypicalRatio) - model.typicalTokens) * typicalTokensSmoothing;
		this.#options.allocator.recordArrival(now, {
			customer, group: name, tokens, isLong,
		});
		const contract = this.#options.contract(customer);
		const maxWaitMs = serviceClass === 'live'
			? contract?.live.queueMs ?? defaultTargets.queueMs
			: (contract?.patient.deadlineS ?? defaultPatientDeadlineS) * 1000;
		this.#ticketCount += 1;
		const id = String(this.#ticketCount);
		this.#ticketIds.set(demand, id);
		return {
			id,
			customer,
			workClass: serviceClass,
			tokens,
			slots: slotCost(promptTokens),
			isLong,
			arrivedAt: now,
			startBy: Math.min(now + maxWaitMs, demand.deadlineMs ?? Infinity),
		};
	}

	#apply(decisions: readonly AdmissionDecision[]): void {
		for (const decision of decisions) {
			const {ticket} = decision;
			const openRequest = this.#openRequests.get(ticket.id);
			switch (decision.kind) {
				case 'grant': {
					openRequest?.settle(Right(this.#createGrant(ticket, openRequest)));
					break;
				}

				case 'refuse': {
					this.#openRequests.delete(ticket.id);
					openRequest?.settle(Left(createQueueRefusal(decision.reason, decision.retryAfterS)));
					break;
				}

				case 'preempt': {
					this.#openRequests.delete(ticket.id);
					openRequest?.preemption.abort('preempted' satisfies CancelReason);
				}
			}
		}
	}

	#createGrant(ticket: Ticket, {model, preemption}: OpenRequest): RequestTicket {
		return {
			enginePriority: ticket.workClass === 'live' ? 0 : 1,
			...(ticket.workClass === 'patient' ? {preemptionSignal: preemption.signal} : {}),
			release: () => {
				this.#finish(model, ticket);
			},
		};
	}

	#finish(name: string, ticket: Ticket): void {
		this.#openRequests.delete(ticket.id);
		this.#apply(this.#getOrCreateModel(name).admission.finish(this.#options.clock.now(), ticket));
	}

	#handleFirstByte(demand: RequestDemand): void {
		const id = this.#ticketIds.get(demand);
		const model = this.#models.get(demand.call.kind === 'model' ? demand.call.model : '');
		if (id !== undefined && model !== undefined) {
			this.#apply(model.admission.firstToken(this.#options.clock.now(), id));
		}
	}
}

class FirstByteListener extends AttemptListener {
	readonly #onFirstByte: (demand: RequestDemand) => void;

	constructor(answered: (demand: RequestDemand) => void) {
		super();
		this.#onFirstByte = answered;
	}

	attemptStarted(): void {
		// Admission counts requests, not attempts.
	}

	attemptEnded(): void {
		// The request pipeline releases the ticket.
	}

	override attemptAnswered({demand}: Attempt): void {
		this.#onFirstByte(demand);
	}
}

function createQueueRefusal(reason: RefusalReason, retryAfterS: number): CallerError {
	return {
		queue_full: createRefusal(429, 'queue_full', 'Too many requests of this customer wait.', retryAfterS),
		deadline: createRefusal(503, 'deadline_not_met', 'The request cannot be admitted in the time that it may wait.', retryAfterS),
		no_upstream: noUpstream,
	}[reason];
}
