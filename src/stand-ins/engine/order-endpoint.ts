import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {EngineState} from '../../ports/engine.ts';
import type {WantedState} from '../../ports/order.ts';
import {readText, sendAnswer} from '../stand-in-server.ts';
import {
	defaultChangeMs, EngineOrders, type EngineOrderOptions, type ReceivedOrder,
} from './engine-orders.ts';
import {IdleLimit, idleLimitMs} from './idle-limit.ts';

/** Options of an engine's order interface. */
export type OrderEndpointOptions = EngineOrderOptions & {
	/** Time after which a connection without a complete request is closed, in milliseconds. @default 2000 */
	readonly idleLimitMs?: number;
};

/** Faults of an engine's order interface. */
export type OrderFaults = {
	/** Crashes the engine halfway through each change. */
	readonly crashInChange: boolean;
};

type OrderContext = {
	readonly faults: OrderFaults;
	/** Crashes the engine; it restarts after its restart time. */
	readonly crash: () => void;
	/** Applies the new state when a change has ended. */
	readonly applyChange: () => void;
};

/** HTTP endpoints for an engine's orders: `/state`, and `/orders` with all accepted and refused orders for invariant checks. */
export class OrderEndpoint implements Disposable {
	readonly orders: EngineOrders;
	readonly #idleLimit: IdleLimit;
	readonly #options: OrderEndpointOptions;
	readonly #openResponses = new Set<ServerResponse>();
	#timer: NodeJS.Timeout | undefined;

	constructor(options: OrderEndpointOptions) {
		this.#options = options;
		this.orders = new EngineOrders(options);
		this.#idleLimit = new IdleLimit(options.idleLimitMs ?? idleLimitMs);
	}

	/** Applies the idle limit to the engine's connections. */
	attach(server: Server): void {
		this.#idleLimit.apply(server);
	}

	/** Handles order requests and refuses work while the engine is draining or changing; false when the engine has to serve the request. */
	async handle(request: IncomingMessage, response: ServerResponse, context: OrderContext): Promise<boolean> {
		const now = performance.now();
		switch (`${request.method} ${request.url}`) {
			case 'GET /state': {
				sendAnswer(response, {status: 200, body: this.#currentState(now)});
				return true;
			}

			case 'GET /orders': {
				sendAnswer(response, {status: 200, body: {accepted: this.orders.accepted, refused: this.orders.refused}});
				return true;
			}

			case 'PUT /state': {
				await this.#receiveOrder(request, response, context);
				return true;
			}

			default: {
				return request.method === 'POST' && this.#admitOrRefuse(response, now);
			}
		}
	}

	[Symbol.dispose](): void {
		clearTimeout(this.#timer);
	}

	async #receiveOrder(request: IncomingMessage, response: ServerResponse, context: OrderContext): Promise<void> {
		const wanted = JSON.parse(await readText(request)) as WantedState;
		if (!this.#idleLimit.isRequestInTime(request.socket)) {
			return;
		}

		const order: ReceivedOrder = {
			orderId: String(request.headers['order-id']), fencing: Number(request.headers['fencing-number']), wanted,
		};
		const now = performance.now();
		const isIdle = !this.orders.isChanging(now);
		const answer = this.orders.receive(order, this.#openResponses.size, now);
		if (answer === 'accepted' && isIdle && this.orders.isChanging(now)) {
			this.#startChange(context);
		}

		sendAnswer(response, {status: answer === 'refused' ? 409 : 202, body: this.#currentState(now)});
	}

	/** Aborts the running requests, as a change of role or weights does, and starts the timer for the end of the change. */
	#startChange(context: OrderContext): void {
		for (const response of this.#openResponses) {
			response.destroy();
		}

		const {changeMs = defaultChangeMs} = this.#options;
		this.#timer = context.faults.crashInChange
			? setTimeout(context.crash, changeMs / 2)
			: setTimeout(context.applyChange, changeMs);
	}

	#currentState(now: number): EngineState {
		return {...this.orders.state(now), inFlight: this.#openResponses.size};
	}

	#admitOrRefuse(response: ServerResponse, now: number): boolean {
		const {draining, phase} = this.orders.state(now);
		if (!draining && phase === 'ready') {
			this.#openResponses.add(response);
			response.once('close', () => {
				this.#openResponses.delete(response);
			});
			return false;
		}

		sendAnswer(response, {
			status: 503,
			headers: {'wagtailtack-ran': 'no'},
			body: {error: {code: 'engine_draining', message: 'the engine takes no new work'}},
		});
		return true;
	}
}
