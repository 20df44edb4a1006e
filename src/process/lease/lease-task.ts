import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import type {Table} from '../../ports/table.ts';
import type {Clock} from '../clock.ts';
import type {Log} from '../log.ts';
import {Task} from '../task.ts';
import {LeaseClient} from './lease-client.ts';
import {
	allLeaseGuards, defaultLeaseTimes, type HeldLease, type LeaseEvent, type LeaseTimes,
} from './lease-machine.ts';

/** What a lease task needs. */
export type LeaseTaskOptions = {
	readonly log: Log;
	readonly table: Table;
	readonly clock: Clock;
	readonly daemon: string;
	readonly group: string;
	/** @default leaseTimes */
	readonly times?: LeaseTimes;
};

const ticksPerRenewal = 10;
const releasePollMs = 20;

/** Acquires and renews one lease while this daemon is a candidate for it; failed table calls are retried. */
export class LeaseTask extends Task<LeaseEvent> {
	readonly #options: LeaseTaskOptions;
	readonly #times: LeaseTimes;
	readonly #client: LeaseClient;
	#lastLogged: HeldLease | undefined;

	constructor(options: LeaseTaskOptions) {
		super(options.log);
		this.#options = options;
		this.#times = options.times ?? defaultLeaseTimes;
		this.#client = new LeaseClient({
			...options,
			times: this.#times,
			guards: allLeaseGuards,
			post: event => {
				this.post(event);
			},
		});
	}

	/** The lease, or `undefined` if none is held or it has expired on the monotonic clock. */
	get held(): HeldLease | undefined {
		return this.#client.held;
	}

	/** Starts the periodic ticks that acquire and renew the lease. */
	run(): void {
		this.start({message: {kind: 'tick', token: ''}, intervalMs: Math.max(1, Math.round(this.#times.renewalMs / ticksPerRenewal))});
	}

	/** Releases the lease; resolves once the outcome of the release is known, or after the timeout in milliseconds. */
	async resign(timeoutMs: number): Promise<void> {
		const {clock} = this.#options;
		this.post({kind: 'candidacy', isCandidate: false});
		this.post({kind: 'tick', token: ''});
		for (const deadline = clock.now() + timeoutMs; this.#client.isBusy && clock.now() < deadline;) {
			await delay(releasePollMs);
		}
	}

	protected receive(message: LeaseEvent): void {
		this.#client.handle(message.kind === 'tick' ? {...message, token: randomUUID()} : message);
		const {held} = this;
		if (held?.token !== this.#lastLogged?.token) {
			this.#lastLogged = held;
			this.log.info(held === undefined ? 'The lease has ended.' : 'The lease is held.', {group: this.#options.group, fencing: held?.fencing});
		}
	}
}
