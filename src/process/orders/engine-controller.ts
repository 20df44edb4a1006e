import {randomUUID} from 'node:crypto';
import type {Engine} from '../../ports/engine.ts';
import type {Host} from '../../ports/host-list.ts';
import type {RowWrite, Table} from '../../ports/table.ts';
import type {Clock} from '../clock.ts';
import type {HeldLease} from '../lease/lease-machine.ts';
import {leaseKey} from '../lease/lease-row.ts';
import type {Log} from '../log.ts';
import {
	createFacts, decideIntent, recordIntent, recordReading, recordSend,
	type EngineFacts, type Goal, type IntentOptions, type Tenure,
} from './intent-machine.ts';
import {intentKey, parseIntentRow, type Intent} from './intent-row.ts';

/** What a holder needs to control an engine. */
export type ControllerOptions = {
	readonly log: Log;
	readonly table: Table;
	readonly clock: Clock;
	readonly engine: Engine;
	readonly group: string;
	/** The lease of the group while it is valid now. */
	readonly lease: () => HeldLease | undefined;
	readonly intent: IntentOptions;
};

/** A goal together with the plan row that must be unchanged when its order is recorded. */
export type PlannedGoal = Goal & {readonly planCheck: RowWrite};

/** Carries out the orders of one engine in one tenure; a malformed intent row throws, other failures are tried again. */
export class EngineController {
	readonly #options: ControllerOptions;
	readonly #tenure: Tenure;
	readonly #token: string;
	readonly #upstream: string;
	#facts: EngineFacts;
	#address: string;

	constructor(options: ControllerOptions, held: HeldLease, host: Host) {
		this.#options = options;
		this.#token = held.token;
		this.#tenure = {group: options.group, fencing: held.fencing, grantedAt: held.grantedAt};
		this.#facts = createFacts(this.#tenure);
		this.#upstream = host.id;
		this.#address = host.address;
	}

	/** What is known of the engine in this tenure. */
	get facts(): EngineFacts {
		return this.#facts;
	}

	/** True until the intent row is read and shows no unresolved order. */
	get isUnresolved(): boolean {
		return this.#facts.intent === undefined || this.#facts.intent.body?.phase === 'pending';
	}

	/** Reads the engine's state at its present address; false when it does not answer. */
	async read(address = this.#address): Promise<boolean> {
		this.#address = address;
		const startedAt = this.#options.clock.now();
		const state = await this.#options.engine.readState(address);
		state.ifRight(value => {
			this.#facts = recordReading(this.#facts, {state: value, startedAt, answeredAt: this.#options.clock.now()});
		});
		return state.isRight();
	}

	/** Takes one action towards a goal; true when another action may follow at once. */
	async step(goal?: PlannedGoal): Promise<boolean> {
		const action = decideIntent(this.#facts, goal === undefined ? undefined : {...goal, orderId: randomUUID()}, {
			...this.#options.intent, tenure: this.#tenure, now: this.#options.clock.now(),
		});
		switch (action.kind) {
			case 'none':
			case 'wait': {
				return false;
			}

			case 'blocked': {
				this.#options.log.warn('The engine is not ordered.', {address: this.#address, reason: action.reason});
				return false;
			}

			case 'read-intent': {
				return this.#readIntent();
			}

			case 'read-engine': {
				return this.read();
			}

			case 'write': {
				return this.#write(action.intent, action.expected, goal?.planCheck);
			}

			case 'send': {
				await this.#send(action.intent);
				await this.read();
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

	async #write(intent: Intent, expected: number, planCheck: RowWrite | undefined): Promise<boolean> {
		const held = this.#held();
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

	async #send(intent: Intent): Promise<void> {
		const {orderId, fencing, wanted, goal} = intent;
		const outcome = await this.#options.engine.sendOrder(
			this.#address,
			{orderId, fencing, wanted},
			() => this.#held() !== undefined,
		);
		this.#options.log.info('An order was sent.', {
			address: this.#address, orderId, fencing, goal, outcome: outcome.kind,
		});
		if (outcome.kind !== 'not-sent') {
			this.#facts = recordSend(this.#facts, orderId, outcome.kind === 'refused', this.#options.clock.now());
		}
	}

	/** The lease of this tenure while it is valid now. */
	#held(): HeldLease | undefined {
		const held = this.#options.lease();
		return held?.token === this.#token ? held : undefined;
	}
}
