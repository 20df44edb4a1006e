import {randomUUID} from 'node:crypto';
import type {StoreFailure, Table} from '../../platform/table.ts';
import type {Clock} from '../clock.ts';
import type {Log} from '../log.ts';
import {Task} from '../task.ts';
import {
	currentLease, decideLease, initialLease, leaseGuards, leaseTimes,
	type HeldLease, type LeaseCommand, type LeaseEvent, type LeaseOptions, type LeaseState, type LeaseTimes,
} from './lease-machine.ts';
import {leaseKey, parseLeaseRow} from './lease-row.ts';

/** What a lease task needs. */
export type LeaseTaskOptions = {
	readonly log: Log;
	readonly table: Table;
	readonly clock: Clock;
	readonly daemon: string;
	readonly group: string;
	/** @default leaseTimes */
	readonly times?: LeaseTimes;
	/** Called when the lease is gained, with the tenure, or lost, with nothing. */
	readonly onChange?: (held: HeldLease | undefined) => void;
};

const ticksPerRenewal = 10;
const releasePollMs = 20;

/** Keeps one lease while this daemon is a candidate for it. */
export class LeaseTask extends Task<LeaseEvent> {
	readonly #task: LeaseTaskOptions;
	readonly #options: LeaseOptions;
	#state: LeaseState = initialLease;
	#reported: HeldLease | undefined;

	constructor(task: LeaseTaskOptions) {
		super(task.log);
		this.#task = task;
		this.#options = {daemon: task.daemon, times: task.times ?? leaseTimes, guards: leaseGuards};
	}

	/** The lease while it is valid now on the monotonic clock. */
	get held(): HeldLease | undefined {
		return currentLease(this.#state, this.#task.clock.now());
	}

	/** Starts the ticks of the lease. */
	run(): void {
		const {renewalMs} = this.#options.times;
		this.start({message: {kind: 'tick', token: ''}, intervalMs: Math.max(1, Math.round(renewalMs / ticksPerRenewal))});
	}

	/** Gives the lease up; resolves once the release is written, or after the time limit in milliseconds. */
	async resign(limitMs: number): Promise<void> {
		this.post({kind: 'candidacy', isCandidate: false});
		this.post({kind: 'tick', token: ''});
		const deadline = this.#task.clock.now() + limitMs;
		while (this.#isBusy() && this.#task.clock.now() < deadline) {
			const {promise, resolve} = Promise.withResolvers<void>();
			setTimeout(resolve, releasePollMs);
			await promise;
		}
	}

	protected receive(message: LeaseEvent): void {
		const event = message.kind === 'tick' ? {...message, token: randomUUID()} : message;
		const {state, command} = decideLease(this.#state, event, this.#task.clock.now(), this.#options);
		this.#state = state;
		this.#report();
		if (command !== undefined) {
			void this.#send(command);
		}
	}

	#isBusy(): boolean {
		return this.#state.held !== undefined || this.#state.inFlight !== undefined || this.#state.claim !== undefined;
	}

	#report(): void {
		const {held} = this;
		if (held?.token === this.#reported?.token) {
			return;
		}

		this.#reported = held;
		this.log.info(held === undefined ? 'The lease has ended.' : 'The lease is held.', {group: this.#task.group, fencing: held?.fencing});
		this.#task.onChange?.(held);
	}

	async #send(command: LeaseCommand): Promise<void> {
		const {table, group} = this.#task;
		const key = leaseKey(group);
		const toFailed = ({kind}: StoreFailure): LeaseEvent => ({kind: 'failed', failure: kind});
		if (command.kind === 'read') {
			const result = await table.get(key);
			this.post(result.caseOf<LeaseEvent>({
				Left: toFailed,
				Right: row => ({kind: 'read', row: row === undefined ? undefined : parseLeaseRow(row)}),
			}));
			return;
		}

		const body = JSON.stringify(command.body);
		const result = await table.write([{
			kind: 'put', key, expected: command.expected, body,
		}]);
		this.post(result.caseOf<LeaseEvent>({Left: toFailed, Right: () => ({kind: 'written'})}));
	}
}
