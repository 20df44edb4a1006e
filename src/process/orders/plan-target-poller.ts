import type {StoreFailure, Table} from '../../ports/table.ts';
import type {Log} from '../log.ts';
import {Task} from '../task.ts';
import {listDrainingUpstreams, type TargetRow} from './plan-row.ts';
import {readTargets} from './plan-store.ts';

type Message
	= | {readonly kind: 'poll'}
		| {readonly kind: 'read'; readonly targets: readonly TargetRow[]}
		| {readonly kind: 'failed'; readonly failure: StoreFailure};

/** Interval at which daemons read the holds of plans, in milliseconds. At 420 daemons it costs a tenth of the table's reads. */
export const planPollIntervalMs = 2000;

/** Polls the holds of all plans; the last ones read stay in use while the table is down. */
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

	/** Upstreams that take no new work because of a plan. */
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
				this.log.warn('The plans cannot be read.', {failure: message.failure});
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
			this.log.error('A plan row cannot be parsed.', error);
		} finally {
			this.#isReading = false;
		}
	}
}
