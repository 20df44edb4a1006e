import {Left, Right, type Either} from 'purify-ts';
import {Engine, type EngineState} from '../../../src/ports/engine.ts';
import {type Order, type OrderOutcome} from '../../../src/ports/order.ts';
import {EngineOrders, type AcceptedOrder} from '../../../src/stand-ins/engine/engine-orders.ts';
import type {Actor, Simulator} from './simulator.ts';

/** An engine closes a connection on which no order has arrived within this time after it was accepted. */
const connectionIdleMs = 2000;
const callTimeoutMs = 2000;
const changeMs = 6000;
const restartMs = 1500;

/** State of the network between the processes and the engines. */
export type Network = {
	/** Upper limit of the random extra time to connect, in milliseconds; 0 adds none. */
	maxExtraConnectMs: number;
};

type Connection = {readonly epoch: number; readonly acceptedAt: number};

type EngineServerOptions = {
	readonly enforcesFencing: boolean;
	readonly closesIdleConnections: boolean;
};

/** An engine in simulated time. Connections and orders that arrive while it is paused are handled when it resumes. */
export class EngineProcess {
	readonly orders: EngineOrders;
	/** Crashes the engine halfway through each state change that starts while this is true. */
	crashesDuringChange = false;
	/** Pauses the engine when the connection for the next order is opened, for a duration in milliseconds. */
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

	/** Orders that the engine has accepted, also before crashes. */
	get accepted(): readonly AcceptedOrder[] {
		return this.orders.accepted;
	}

	/** Raised by each crash and by each state change that starts while requests are in flight; connections and requests of an earlier epoch are lost. */
	get epoch(): number {
		return this.#epoch;
	}

	get isDown(): boolean {
		return this.#simulator.now < this.#downUntil;
	}

	/** State as the engine reports it, with the number of requests in flight. */
	get state(): EngineState {
		return {...this.orders.state(this.#simulator.now), inFlight: this.#inFlight};
	}

	/** Time until a paused engine resumes, in milliseconds; 0 when it isn't paused. */
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

	/** Starts a request of the given duration, unless the engine is down, draining or changing. */
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

	/** Handles an order on a connection that was accepted at a time; returns undefined when the engine is down or has closed the connection as idle. */
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

/** Engines and network that all processes share. */
export type FakeEngineOptions = {
	readonly simulator: Simulator;
	readonly engines: ReadonlyMap<string, EngineProcess>;
	readonly network: Network;
	/** Checks the authority to send an order once the connection is open; when false, before it is opened. */
	readonly checksAfterConnect: boolean;
};

/** Engine port of one process in simulated time, with network delays and faults. */
export class FakeEngine extends Engine {
	/** True while this process can't reach any engine. */
	isPartitioned = false;
	/** Pauses the process between the authority check and the write of its next order, for a duration in milliseconds. */
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
			resolve(Left('request timed out'));
		});
		this.#simulator.after(this.#drawConnectMs(), () => {
			if (this.isPartitioned || engine.isDown) {
				return;
			}

			this.#simulator.after(engine.remainingPauseMs, () => {
				const result = engine.isDown ? Left('engine is down') : Right(engine.state);
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
			resolve({kind: 'unknown', message: 'request timed out'});
		});
		const check = (next: () => void) => {
			if (isAuthorized()) {
				this.#actor.pause(this.pauseAtWriteMs);
				this.pauseAtWriteMs = 0;
				this.#actor.after(0, next);
			} else {
				resolve({kind: 'not-sent', message: 'order is no longer authorized'});
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
					resolve({kind: 'not-sent', message: 'connection failed'});
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
						? {kind: 'unknown', message: 'engine closed the connection'}
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
