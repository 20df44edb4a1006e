import type {StoreFailure, Table} from '../../ports/table.ts';
import type {Log} from '../log.ts';
import {Task} from '../task.ts';
import {listDrainingUpstreams, type TargetRow} from './plan-row.ts';
import {readTargets} from './plan-store.ts';

type Message
	= | {readonly kind: 'poll'}
		| {readonly kind: 'read'; readonly targets: readonly TargetRow[]}
		| {readonly kind: 'failed'; readonly failure: StoreFailure};

/** Interval at which each daemon reads the holds of plans, in milliseconds. With 420 daemons this takes a tenth of the table's reads. */
export const planPollIntervalMs = 2000;

/** Polls the holds of all plans. While the table is down, the holds of the last successful read stay in use. */
export class PlanTargetPoller extends Task<Message> {
	readonly #table: Table;
	#targets: readonly TargetRow[] = [];
	#draining: ReadonlySet<string> = new Set();
	#isReading = false;

	constructor(log: Log, table: Table) {
		super(log);
		this.#table = table;
	}

	/** Holds as last read. */
	get targets(): readonly TargetRow[] {
		return this.#targets;
	}

	/** Upstreams that get no new work because of a plan. */
	get draining(): ReadonlySet<string> {
		return this.#draining;
	}

	/** Starts polling at once and then at each interval. */
	run(intervalMs = planPollIntervalMs): void {
		this.start({message: {kind: 'poll'}, intervalMs});
	}

	protected receive(message: Message): void {
		switch (message.kind) {
			case 'poll': {
				void this.#read();
				return;
			}

			case 'read': {
				this.#targets = message.targets;
				this.#draining = listDrainingUpstreams(message.targets);
				return;
			}

			case 'failed': {
				this.log.warn('The plan holds cannot be read.', {failure: message.failure});
			}
		}
	}

	async #read(): Promise<void> {
		if (this.#isReading) {
			return;
		}

		this.#isReading = true;
		try {
			const result = await readTargets(this.#table);
			this.post(result.caseOf<Message>({
				Left: failure => ({kind: 'failed', failure}),
				Right: targets => ({kind: 'read', targets}),
			}));
		} catch (error) {
			this.log.error('A plan-target row cannot be parsed.', error);
		} finally {
			this.#isReading = false;
		}
	}
}
