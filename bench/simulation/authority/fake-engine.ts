import {Left, Right, type Either} from 'purify-ts';
import {Engine, type EngineState} from '../../../src/ports/engine.ts';
import {type Order, type OrderOutcome} from '../../../src/ports/order.ts';
import {EngineOrders, type AcceptedOrder} from '../../../src/stand-ins/engine/engine-orders.ts';
import type {Actor, Simulator} from './simulator.ts';

const connectionIdleMs = 2000;
const callTimeoutMs = 2000;
const changeMs = 6000;
const restartMs = 1500;

/** Connections to engines. */
export type Network = {
	/** Upper limit of the extra time to connect, in milliseconds. */
	maxExtraConnectMs: number;
};

type Connection = {readonly epoch: number; readonly acceptedAt: number};

type EngineServerOptions = {
	readonly enforcesFencing: boolean;
	readonly closesIdleConnections: boolean;
};

/** An engine in fake time: it accepts connections and requests in order, also those that came while it was paused. */
export class EngineProcess {
	readonly orders: EngineOrders;
	crashesDuringChange = false;
	/** Pauses the engine when the next order's connection is opened, for a time in milliseconds. */
	pauseAtConnectMs = 0;
	readonly #simulator: Simulator;
	readonly #options: EngineServerOptions;
	#pausedUntil = 0;
	#downUntil = 0;
	#epoch = 0;
	#inFlight = 0;

	constructor(simulator: Simulator, options: EngineServerOptions) {
		this.#simulator = simulator;
		this.#options = options;
		this.orders = new EngineOrders({model: 'm', enforcesFencing: options.enforcesFencing, changeMs});
	}

	/** Orders that the engine has accepted. */
	get accepted(): readonly AcceptedOrder[] {
		return this.orders.accepted;
	}

	/** Changes when the engine crashes, which ends its connections. */
	get epoch(): number {
		return this.#epoch;
	}

	get isDown(): boolean {
		return this.#simulator.now < this.#downUntil;
	}

	/** State with the requests in flight. */
	get state(): EngineState {
		return {...this.orders.state(this.#simulator.now), inFlight: this.#inFlight};
	}

	/** Time until a paused engine goes on. */
	get remainingPauseMs(): number {
		return Math.max(0, this.#pausedUntil - this.#simulator.now);
	}

	pause(durationMs: number): void {
		this.#pausedUntil = Math.max(this.#pausedUntil, this.#simulator.now + durationMs);
	}

	crash(): void {
		this.#epoch += 1;
		this.#inFlight = 0;
		this.#downUntil = this.#simulator.now + restartMs;
		this.orders.crash(this.#simulator.now);
	}

	/** Starts a request if the engine takes work. */
	startRequest(durationMs: number): void {
		const {draining, phase} = this.state;
		if (this.isDown || draining || phase === 'changing') {
			return;
		}

		const epoch = this.#epoch;
		this.#inFlight += 1;
		this.#simulator.after(durationMs, () => {
			this.#inFlight -= epoch === this.#epoch ? 1 : 0;
		});
	}

	/** Takes an order on a connection accepted at a time; `undefined` when the engine has closed it. */
	receive(order: Order, acceptedAt: number): 'accepted' | 'refused' | undefined {
		if (this.isDown || (this.#options.closesIdleConnections && this.#simulator.now - acceptedAt > connectionIdleMs)) {
			return undefined;
		}

		const wasChanging = this.orders.isChanging(this.#simulator.now);
		const answer = this.orders.receive(order, this.#inFlight, this.#simulator.now);
		if (!wasChanging && this.orders.isChanging(this.#simulator.now)) {
			this.#epoch += this.#inFlight > 0 ? 1 : 0;
			this.#inFlight = 0;
			this.#scheduleCrash();
		}

		return answer === 'refused' ? 'refused' : 'accepted';
	}

	#scheduleCrash(): void {
		if (this.crashesDuringChange) {
			this.#simulator.after(changeMs / 2, () => {
				this.crash();
			});
		}
	}
}

/** What all processes share on their way to the engines. */
export type FakeEngineOptions = {
	readonly simulator: Simulator;
	readonly engines: ReadonlyMap<string, EngineProcess>;
	readonly network: Network;
	readonly checksAfterConnect: boolean;
};

/** Access of one process to the engines. */
export class FakeEngine extends Engine {
	/** Cuts this process off from all engines. */
	isPartitioned = false;
	/** Pauses the process between the check and the write of its next order, for a time in milliseconds. */
	pauseAtWriteMs = 0;
	readonly #simulator: Simulator;
	readonly #actor: Actor;
	readonly #engines: ReadonlyMap<string, EngineProcess>;
	readonly #network: Network;
	readonly #checksAfterConnect: boolean;

	constructor(actor: Actor, {simulator, engines, network, checksAfterConnect}: FakeEngineOptions) {
		super();
		this.#simulator = simulator;
		this.#actor = actor;
		this.#engines = engines;
		this.#network = network;
		this.#checksAfterConnect = checksAfterConnect;
	}

	async readState(address: string): Promise<Either<string, EngineState>> {
		const {promise, resolve} = Promise.withResolvers<Either<string, EngineState>>();
		const engine = this.#engines.get(address)!;
		this.#actor.after(callTimeoutMs, () => {
			resolve(Left('timeout'));
		});
		this.#simulator.after(this.#drawConnectMs(), () => {
			if (this.isPartitioned || engine.isDown) {
				return;
			}

			this.#simulator.after(engine.remainingPauseMs, () => {
				const result = engine.isDown ? Left('down') : Right(engine.state);
				this.#actor.after(this.#drawNetworkDelayMs(), () => {
					resolve(result);
				});
			});
		});
		return promise;
	}

	async sendOrder(address: string, order: Order, isAuthorized: () => boolean): Promise<OrderOutcome> {
		const {promise, resolve} = Promise.withResolvers<OrderOutcome>();
		const engine = this.#engines.get(address)!;
		this.#actor.after(callTimeoutMs, () => {
			resolve({kind: 'unknown', message: 'timeout'});
		});
		const check = (next: () => void) => {
			if (isAuthorized()) {
				this.#actor.pause(this.pauseAtWriteMs);
				this.pauseAtWriteMs = 0;
				this.#actor.after(0, next);
			} else {
				resolve({kind: 'not-sent', message: 'not authorized'});
			}
		};

		if (this.#checksAfterConnect) {
			this.#connect(engine, resolve, connection => {
				check(() => {
					this.#write(engine, order, connection, resolve);
				});
			});
		} else {
			check(() => {
				this.#connect(engine, resolve, connection => {
					this.#write(engine, order, connection, resolve);
				});
			});
		}

		return promise;
	}

	#connect(engine: EngineProcess, resolve: (outcome: OrderOutcome) => void, next: (connection: Connection) => void): void {
		this.#simulator.after(this.#drawConnectMs(), () => {
			engine.pause(engine.pauseAtConnectMs);
			engine.pauseAtConnectMs = 0;
			const connection = {epoch: engine.epoch, acceptedAt: this.#simulator.now + engine.remainingPauseMs};
			const isOpen = !this.isPartitioned && !engine.isDown;
			this.#actor.after(this.#drawNetworkDelayMs(), () => {
				if (isOpen) {
					next(connection);
				} else {
					resolve({kind: 'not-sent', message: 'not connected'});
				}
			});
		});
	}

	#write(
		engine: EngineProcess,
		order: Order,
		connection: Connection,
		resolve: (outcome: OrderOutcome) => void,
	): void {
		this.#simulator.after(this.#drawNetworkDelayMs(), () => {
			this.#simulator.after(engine.remainingPauseMs, () => {
				const answer = connection.epoch === engine.epoch ? engine.receive(order, connection.acceptedAt) : undefined;
				this.#actor.after(this.#drawNetworkDelayMs(), () => {
					resolve(answer === undefined
						? {kind: 'unknown', message: 'closed'}
						: (answer === 'refused' ? {kind: 'refused', status: 409} : {kind: 'accepted'}));
				});
			});
		});
	}

	#drawConnectMs(): number {
		return this.#drawNetworkDelayMs() + (this.#network.maxExtraConnectMs === 0 ? 0 : this.#simulator.random.integer(this.#network.maxExtraConnectMs));
	}

	#drawNetworkDelayMs(): number {
		return 1 + this.#simulator.random.integer(5);
	}
}
