import type {Row, StoreFailure, Table} from '../../ports/table.ts';
import type {Clock} from '../clock.ts';
import {
	currentLease, decideLease, initialLease,
	type HeldLease, type LeaseCommand, type LeaseEvent, type LeaseOptions, type LeaseState,
} from './lease-machine.ts';
import {leaseKey, parseLeaseRow} from './lease-row.ts';

/** What a lease client needs. */
export type LeaseClientOptions = LeaseOptions & {
	readonly table: Table;
	readonly clock: Clock;
	readonly group: string;
	/** Delivers the outcome of a table call as an event. */
	readonly post: (event: LeaseEvent) => void;
};

/** Runs the lease state machine against the table; a failed call is delivered as an event of kind `failed`. */
export class LeaseClient {
	readonly #options: LeaseClientOptions;
	#state: LeaseState = initialLease;

	constructor(options: LeaseClientOptions) {
		this.#options = options;
	}

	/** The lease, or `undefined` if none is held or it has expired on the monotonic clock. */
	get held(): HeldLease | undefined {
		return currentLease(this.#state, this.#options.clock.now());
	}

	/** True while a lease is held, a table call is in flight or the outcome of a write is not settled. */
	get isBusy(): boolean {
		return this.#state.held !== undefined || this.#state.inFlight !== undefined || this.#state.pendingWrite !== undefined;
	}

	/** Handles one event and sends the table call that follows from it. */
	handle(event: LeaseEvent): void {
		const {state, command} = decideLease(this.#state, event, this.#options.clock.now(), this.#options);
		this.#state = state;
		if (command !== undefined) {
			void this.#send(command);
		}
	}

	async #send(command: LeaseCommand): Promise<void> {
		const {table, group, post} = this.#options;
		const key = leaseKey(group);
		const toFailed = ({kind}: StoreFailure): LeaseEvent => ({kind: 'failed', failure: kind});
		if (command.kind === 'read') {
			const result = await table.get(key);
			post(result.caseOf<LeaseEvent>({
				Left: toFailed,
				Right: row => toReadEvent(row, table.epoch),
			}));
			return;
		}

		const body = JSON.stringify(command.body);
		const result = await table.write([{
			kind: 'put', key, expected: command.expected, body,
		}]);
		post(result.caseOf<LeaseEvent>({Left: toFailed, Right: () => ({kind: 'written'})}));
	}
}

/** Treats a row that cannot be parsed like one that cannot be read, so that no candidate takes the lease over. */
function toReadEvent(row: Row | undefined, epoch: number | undefined): LeaseEvent {
	try {
		return {kind: 'read', row: row === undefined ? undefined : parseLeaseRow(row), epoch};
	} catch {
		return {kind: 'failed', failure: 'unavailable'};
	}
}
