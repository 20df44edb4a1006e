import {randomUUID} from 'node:crypto';
import type {Engine} from '../../ports/engine.ts';
import type {Host} from '../../ports/host-list.ts';
import type {RowWrite, Table} from '../../ports/table.ts';
import type {Clock} from '../clock.ts';
import type {HeldLease} from '../lease/lease-machine.ts';
import {leaseKey} from '../lease/lease-row.ts';
import type {Log} from '../log.ts';
import {
	createEngineFacts, decideIntent, recordIntent, recordReading, recordSend,
	type EngineFacts, type OrderGoal, type IntentOptions, type LeaseGrant,
} from './intent-machine.ts';
import {intentKey, parseIntentRow, type Intent} from './intent-row.ts';

/** Options for controlling an engine. */
export type EngineControllerOptions = {
	readonly log: Log;
	readonly table: Table;
	readonly clock: Clock;
	readonly engine: Engine;
	readonly group: string;
	/** Returns the group's lease while this daemon holds it and it is valid. */
	readonly lease: () => HeldLease | undefined;
	readonly intent: IntentOptions;
};

/** A goal with the condition that its plan row is unchanged when the order is recorded. */
export type PlannedGoal = OrderGoal & {readonly planCheck: RowWrite};

/** Carries out the orders to one engine during one lease period. A malformed intent row throws; other failures are retried. */
export class EngineController {
	readonly #options: EngineControllerOptions;
	readonly #leaseGrant: LeaseGrant;
	readonly #token: string;
	readonly #upstream: string;
	#facts: EngineFacts;
	#address: string;

	constructor(options: EngineControllerOptions, held: HeldLease, host: Host) {
		this.#options = options;
		this.#token = held.token;
		this.#leaseGrant = {group: options.group, fencing: held.fencing, grantedAt: held.grantedAt};
		this.#facts = createEngineFacts(this.#leaseGrant);
		this.#upstream = host.id;
		this.#address = host.address;
	}

	/** What is known about the engine in this lease period. */
	get facts(): EngineFacts {
		return this.#facts;
	}

	/** True until the intent row is read and shows no unresolved order. */
	get hasUnresolvedOrder(): boolean {
		return this.#facts.intent === undefined || this.#facts.intent.body?.phase === 'pending';
	}

	/** Reads the engine's state at its current address; returns false when it does not answer. */
	async readState(address = this.#address): Promise<boolean> {
		this.#address = address;
		const startedAt = this.#options.clock.now();
		const state = await this.#options.engine.readState(address);
		state.ifRight(value => {
			this.#facts = recordReading(this.#facts, {state: value, startedAt, answeredAt: this.#options.clock.now()});
		});
		return state.isRight();
	}

	/** Performs one action towards a goal; returns true when another action may follow at once. */
	async step(goal?: PlannedGoal): Promise<boolean> {
		const action = decideIntent(this.#facts, goal === undefined ? undefined : {...goal, orderId: randomUUID()}, {
			...this.#options.intent, leaseGrant: this.#leaseGrant, now: this.#options.clock.now(),
		});
		switch (action.kind) {
			case 'none':
			case 'wait': {
				return false;
			}

			case 'blocked': {
				this.#options.log.warn('The engine gets no orders.', {address: this.#address, reason: action.reason});
				return false;
			}

			case 'read-intent': {
				return this.#readIntent();
			}

			case 'read-engine': {
				return this.readState();
			}

			case 'write': {
				return this.#writeIntent(action.intent, action.expected, goal?.planCheck);
			}

			case 'send': {
				await this.#sendOrder(action.intent);
				await this.readState();
				return true;
			}
		}
	}

	async #readIntent(): Promise<boolean> {
		const row = await this.#options.table.get(intentKey(this.#upstream));
		row.ifRight(value => {
			this.#facts = recordIntent(this.#facts, parseIntentRow(value));
		});
		return row.isRight();
	}

	async #writeIntent(intent: Intent, expected: number, planCheck: RowWrite | undefined): Promise<boolean> {
		const held = this.#currentLease();
		if (held === undefined) {
			return false;
		}

		const isNew = intent.phase === 'pending';
		const result = await this.#options.table.write([
			{
				kind: 'put', key: intentKey(this.#upstream), expected, body: JSON.stringify(intent),
			},
			{kind: 'check', key: leaseKey(this.#options.group), expected: held.revision},
			...(isNew && planCheck !== undefined ? [planCheck] : []),
		]);
		result.caseOf({
			Left: failure => {
				if (failure.kind !== 'unavailable') {
					this.#facts = {...this.#facts, intent: undefined};
				}
			},
			Right: () => {
				this.#facts = recordIntent(this.#facts, {revision: expected + 1, body: intent});
			},
		});
		return result.isRight();
	}

	async #sendOrder(intent: Intent): Promise<void> {
		const {orderId, fencing, wanted, goal} = intent;
		const outcome = await this.#options.engine.sendOrder(
			this.#address,
			{orderId, fencing, wanted},
			() => this.#currentLease() !== undefined,
		);
		this.#options.log.info('An order was sent.', {
			address: this.#address, orderId, fencing, goal, outcome: outcome.kind,
		});
		if (outcome.kind !== 'not-sent') {
			this.#facts = recordSend(this.#facts, orderId, outcome.kind === 'refused', this.#options.clock.now());
		}
	}

	/** Returns the lease while it is valid and still the one that this controller was created for. */
	#currentLease(): HeldLease | undefined {
		const held = this.#options.lease();
		return held?.token === this.#token ? held : undefined;
	}
}
