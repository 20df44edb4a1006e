import {Left, Right, type Either} from 'purify-ts';
import {Engine, type EngineState} from '../../../src/ports/engine.ts';
import {type Order, type OrderOutcome} from '../../../src/ports/order.ts';
import {EngineOrders, type AcceptedOrder} from '../../../src/stand-ins/engine/engine-orders.ts';
import type {Actor, World} from './world.ts';

/** An engine closes a connection on which no order has arrived within this time after it was accepted. */
const idleLimitMs = 2000;
const timeoutMs = 2000;
const changeMs = 6000;
const restartMs = 1500;

/** State of the network between the processes and the engines. */
export type Network = {
	/** Upper limit of the random extra time to connect, in milliseconds; 0 adds none. */
	connectMs: number;
};

type Connection = {readonly epoch: number; readonly acceptedAt: number};

type EngineServerOptions = {
	readonly enforcesFencing: boolean;
	readonly closesIdle: boolean;
};

/** An engine in simulated time. Connections and orders that arrive while it is paused are handled when it resumes. */
export class EngineProcess {
	readonly orders: EngineOrders;
	/** Crashes the engine halfway through each state change that starts while this is true. */
	crashesInChange = false;
	/** Pauses the engine when the connection for the next order is opened, for a duration in milliseconds. */
	pauseAtConnectMs = 0;
	readonly #world: World;
	readonly #options: EngineServerOptions;
	#pausedUntil = 0;
	#downUntil = 0;
	#epoch = 0;
	#inFlight = 0;

	constructor(world: World, options: EngineServerOptions) {
		this.#world = world;
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
		return this.#world.now < this.#downUntil;
	}

	/** State as the engine reports it, with the number of requests in flight. */
	get state(): EngineState {
		return {...this.orders.state(this.#world.now), inFlight: this.#inFlight};
	}

	/** Time until a paused engine resumes, in milliseconds; 0 when it isn't paused. */
	get pauseLeft(): number {
		return Math.max(0, this.#pausedUntil - this.#world.now);
	}

	pause(durationMs: number): void {
		this.#pausedUntil = Math.max(this.#pausedUntil, this.#world.now + durationMs);
	}

	crash(): void {
		this.#epoch += 1;
		this.#inFlight = 0;
		this.#downUntil = this.#world.now + restartMs;
		this.orders.crash(this.#world.now);
	}

	/** Starts a request of the given duration, unless the engine is down, draining or changing. */
	startRequest(durationMs: number): void {
		const {draining, phase} = this.state;
		if (this.isDown || draining || phase === 'changing') {
			return;
		}

		const epoch = this.#epoch;
		this.#inFlight += 1;
		this.#world.after(durationMs, () => {
			this.#inFlight -= epoch === this.#epoch ? 1 : 0;
		});
	}

	/** Handles an order on a connection that was accepted at a time; returns undefined when the engine is down or has closed the connection as idle. */
	receive(order: Order, acceptedAt: number): 'accepted' | 'refused' | undefined {
		if (this.isDown || (this.#options.closesIdle && this.#world.now - acceptedAt > idleLimitMs)) {
			return undefined;
		}

		const wasChanging = this.orders.isChanging(this.#world.now);
		const answer = this.orders.receive(order, this.#inFlight, this.#world.now);
		if (!wasChanging && this.orders.isChanging(this.#world.now)) {
			this.#epoch += this.#inFlight > 0 ? 1 : 0;
			this.#inFlight = 0;
			this.#crashLater();
		}

		return answer === 'refused' ? 'refused' : 'accepted';
	}

	#crashLater(): void {
		if (this.crashesInChange) {
			this.#world.after(changeMs / 2, () => {
				this.crash();
			});
		}
	}
}

/** Engines and network that all processes share. */
export type FakeEngineOptions = {
	readonly world: World;
	readonly engines: ReadonlyMap<string, EngineProcess>;
	readonly network: Network;
	/** Checks the authority to send an order once the connection is open; when false, before it is opened. */
	readonly checksAfterConnect: boolean;
};

/** Engine port of one process in simulated time, with network delays and faults. */
export class FakeEngine extends Engine {
	/** True while this process can't reach any engine. */
	isCut = false;
	/** Pauses the process between the authority check and the write of its next order, for a duration in milliseconds. */
	pauseAtWriteMs = 0;
	readonly #world: World;
	readonly #actor: Actor;
	readonly #engines: ReadonlyMap<string, EngineProcess>;
	readonly #network: Network;
	readonly #checksAfterConnect: boolean;

	constructor(actor: Actor, {world, engines, network, checksAfterConnect}: FakeEngineOptions) {
		super();
		this.#world = world;
		this.#actor = actor;
		this.#engines = engines;
		this.#network = network;
		this.#checksAfterConnect = checksAfterConnect;
	}

	async readState(address: string): Promise<Either<string, EngineState>> {
		const {promise, resolve} = Promise.withResolvers<Either<string, EngineState>>();
		const engine = this.#engines.get(address)!;
		this.#actor.after(timeoutMs, () => {
			resolve(Left('request timed out'));
		});
		this.#world.after(this.#connectTime(), () => {
			if (this.isCut || engine.isDown) {
				return;
			}

			this.#world.after(engine.pauseLeft, () => {
				const result = engine.isDown ? Left('engine is down') : Right(engine.state);
				this.#actor.after(this.#way(), () => {
					resolve(result);
				});
			});
		});
		return promise;
	}

	async sendOrder(address: string, order: Order, isAuthorized: () => boolean): Promise<OrderOutcome> {
		const {promise, resolve} = Promise.withResolvers<OrderOutcome>();
		const engine = this.#engines.get(address)!;
		this.#actor.after(timeoutMs, () => {
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
		this.#world.after(this.#connectTime(), () => {
			engine.pause(engine.pauseAtConnectMs);
			engine.pauseAtConnectMs = 0;
			const connection = {epoch: engine.epoch, acceptedAt: this.#world.now + engine.pauseLeft};
			const isOpen = !this.isCut && !engine.isDown;
			this.#actor.after(this.#way(), () => {
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
		this.#world.after(this.#way(), () => {
			this.#world.after(engine.pauseLeft, () => {
				const answer = connection.epoch === engine.epoch ? engine.receive(order, connection.acceptedAt) : undefined;
				this.#actor.after(this.#way(), () => {
					resolve(answer === undefined
						? {kind: 'unknown', message: 'engine closed the connection'}
						: (answer === 'refused' ? {kind: 'refused', status: 409} : {kind: 'accepted'}));
				});
			});
		});
	}

	#connectTime(): number {
		return this.#way() + (this.#network.connectMs === 0 ? 0 : this.#world.random.integer(this.#network.connectMs));
	}

	#way(): number {
		return 1 + this.#world.random.integer(5);
	}
}
