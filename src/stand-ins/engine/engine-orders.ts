import type {EngineState} from '../../ports/engine.ts';
import type {EngineRole, WantedState} from '../../ports/order.ts';

/** Time that a change of role, model, adapters or version takes, in milliseconds. */
export const defaultChangeMs = 2000;

/** Initial state of an engine and its handling of orders. */
export type EngineOrderOptions = {
	readonly model: string;
	/** @default 'mixed' */
	readonly role?: EngineRole;
	/** @default '1' */
	readonly version?: string;
	/** Refuses orders with a fencing number below the highest one seen. @default true */
	readonly enforcesFencing?: boolean;
	/** Time that a change of role, model, adapters or version takes, in milliseconds. @default 2000 */
	readonly changeMs?: number;
};

/** An order as the engine received it. */
export type ReceivedOrder = {
	readonly orderId: string;
	readonly fencing: number;
	readonly wanted: WantedState;
};

/** Record of an accepted order, for invariant checks. */
export type AcceptedOrder = ReceivedOrder & {
	readonly acceptedAt: number;
	/** Time at which the engine was ready again; absent during the change, and when a crash ended the change. */
	readonly readyAt?: number;
	/** Requests in flight when the change began, which it aborts; 0 when the order took effect at once. */
	readonly cutRequests: number;
	/** True when the order arrived while an earlier one was still being applied. */
	readonly conflicts: boolean;
};

/** The engine's answer to an order. */
export type OrderAnswer = 'accepted' | 'repeated' | 'refused';

type Change = {readonly orderId: string; readonly wanted: WantedState; readonly startedAt: number};

/** State machine for the orders and the state of an engine; the caller passes in the time, in milliseconds. */
export class EngineOrders {
	readonly #options: EngineOrderOptions;
	#state: EngineState;
	#change: Change | undefined;
	#accepted: readonly AcceptedOrder[] = [];
	#refused: readonly ReceivedOrder[] = [];

	constructor(options: EngineOrderOptions) {
		this.#options = options;
		this.#state = createBootState(options);
	}

	/** All orders accepted since the stand-in was created; a simulated crash does not clear them. */
	get accepted(): readonly AcceptedOrder[] {
		return this.#accepted;
	}

	/** Orders refused because of a stale fencing number. */
	get refused(): readonly ReceivedOrder[] {
		return this.#refused;
	}

	/** Returns the state at the given time. */
	state(now: number): EngineState {
		this.#finishChange(now);
		return this.#state;
	}

	/** Accepts or refuses an order; an order that repeats the last order id has no effect. */
	receive(order: ReceivedOrder, inFlight: number, now: number): OrderAnswer {
		this.#finishChange(now);
		const {enforcesFencing = true} = this.#options;
		if (enforcesFencing && order.fencing < this.#state.fencing) {
			this.#refused = [...this.#refused, order];
			return 'refused';
		}

		if (order.orderId === this.#state.orderId) {
			return 'repeated';
		}

		const conflicts = this.#change !== undefined;
		const takesTime = requiresChange(order.wanted, this.#state);
		this.#accepted = [...this.#accepted, {
			...order, acceptedAt: now, conflicts, cutRequests: takesTime ? inFlight : 0,
		}];
		this.#state = {...this.#state, fencing: Math.max(order.fencing, this.#state.fencing), orderId: order.orderId};
		if (takesTime) {
			this.#state = {...this.#state, phase: 'changing'};
			this.#change = {orderId: order.orderId, wanted: order.wanted, startedAt: now};
		} else {
			this.#apply(order.orderId, order.wanted, now);
		}

		return 'accepted';
	}

	/** Simulates a crash: resets the engine to its boot state, including the fencing number, and drops the change in progress. */
	crash(now: number): void {
		this.#finishChange(now);
		this.#state = createBootState(this.#options);
		this.#change = undefined;
	}

	/** True while a change is in progress. */
	isChanging(now: number): boolean {
		this.#finishChange(now);
		return this.#change !== undefined;
	}

	#finishChange(now: number): void {
		const change = this.#change;
		if (change !== undefined && now >= change.startedAt + (this.#options.changeMs ?? defaultChangeMs)) {
			this.#change = undefined;
			this.#apply(change.orderId, change.wanted, change.startedAt + (this.#options.changeMs ?? defaultChangeMs));
		}
	}

	#apply(orderId: string, wanted: WantedState, readyAt: number): void {
		const {drain = this.#state.draining, ...rest} = wanted;
		this.#state = {
			...this.#state, ...rest, draining: drain, phase: this.#change === undefined ? 'ready' : 'changing',
		};
		this.#accepted = this.#accepted.map(order => (order.orderId === orderId && order.readyAt === undefined ? {...order, readyAt} : order));
	}
}

function createBootState(options: EngineOrderOptions): EngineState {
	return {
		role: options.role ?? 'mixed',
		model: options.model,
		adapters: [],
		version: options.version ?? '1',
		draining: false,
		fencing: 0,
		orderId: '',
		phase: 'ready',
		inFlight: 0,
	};
}

function requiresChange(wanted: WantedState, state: EngineState): boolean {
	// Draining starts and ends at once, so a different drain flag alone needs no change.
	const {drain, ...change} = wanted;
	return Object.entries(change).some(([name, value]) =>
		JSON.stringify(value) !== JSON.stringify(state[name as keyof EngineState]));
}
