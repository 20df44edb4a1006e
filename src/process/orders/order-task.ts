import {Task} from '../task.ts';
import {GroupOrders, type GroupOrdersOptions} from './group-orders.ts';

/** Options of an order task. */
export type OrderTaskOptions = GroupOrdersOptions & {
	/** Interval between rounds, in milliseconds. */
	readonly tickIntervalMs: number;
};

/** Runs the order rounds of one engine group at an interval; rounds do not overlap. */
export class OrderTask extends Task<'tick'> {
	readonly #options: OrderTaskOptions;
	readonly #orders: GroupOrders;
	#round: Promise<void> | undefined;

	constructor(options: OrderTaskOptions) {
		super(options.log);
		this.#options = options;
		this.#orders = new GroupOrders(options);
	}

	/** Starts running rounds. */
	run(): void {
		this.start({message: 'tick', intervalMs: this.#options.tickIntervalMs});
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
			this.log.error('An order round failed.', error, {group: this.#options.group});
		}
	}
}
