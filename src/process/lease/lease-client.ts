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
	/** Delivers the outcome of a request as an event. */
	readonly post: (event: LeaseEvent) => void;
};

/** Runs the lease machine against the table; a failed call is delivered as an event of kind `failed`. */
export class LeaseClient {
	readonly #options: LeaseClientOptions;
	#state: LeaseState = initialLease;

	constructor(options: LeaseClientOptions) {
		this.#options = options;
	}

	/** The lease while it is valid now on the monotonic clock. */
	get held(): HeldLease | undefined {
		return currentLease(this.#state, this.#options.clock.now());
	}

	/** True while a lease is held or a request is not settled. */
	get isBusy(): boolean {
		return this.#state.held !== undefined || this.#state.inFlight !== undefined || this.#state.pendingWrite !== undefined;
	}

	/** Handles one event and sends the request that follows from it. */
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
				Right: row => toReadEvent(row),
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

/** A row that cannot be parsed is as good as one that cannot be read: nobody takes over from it. */
function toReadEvent(row: Row | undefined): LeaseEvent {
	try {
		return {kind: 'read', row: row === undefined ? undefined : parseLeaseRow(row)};
	} catch {
		return {kind: 'failed', failure: 'unavailable'};
	}
}
