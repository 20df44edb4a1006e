import {Task} from '../task.ts';
import {GroupOrders, type GroupOrdersOptions} from './group-orders.ts';

/** What an order task needs. */
export type OrderTaskOptions = GroupOrdersOptions & {
	/** Time between two rounds, in milliseconds. */
	readonly tickMs: number;
};

/** Runs the rounds of one group's orders, one at a time. */
export class OrderTask extends Task<'tick'> {
	readonly #options: OrderTaskOptions;
	readonly #orders: GroupOrders;
	#round: Promise<void> | undefined;

	constructor(options: OrderTaskOptions) {
		super(options.log);
		this.#options = options;
		this.#orders = new GroupOrders(options);
	}

	/** Starts the rounds. */
	run(): void {
		this.start({message: 'tick', intervalMs: this.#options.tickMs});
	}

	protected receive(): void {
		this.#round ??= this.#runRound().finally(() => {
			this.#round = undefined;
		});
	}

	protected override async release(): Promise<void> {
		await this.#round;
	}

	async #runRound(): Promise<void> {
		try {
			await this.#orders.runRound();
		} catch (error) {
			this.log.error('A round of orders failed.', error, {group: this.#options.group});
		}
	}
}
