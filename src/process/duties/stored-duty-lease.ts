import type {DutyAuthority} from '../../ports/platform-duties.ts';
import type {Table} from '../../ports/table.ts';
import type {Clock} from '../clock.ts';
import type {LeaseTimes} from '../lease/lease-machine.ts';
import {LeaseTask} from '../lease/lease-task.ts';
import type {Log} from '../log.ts';
import {isDutyCandidate} from './duty-candidacy.ts';
import {DutyLease} from './duty-lease.ts';

/** What the lease of duties needs. */
export type StoredDutyLeaseOptions = {
	/** Clock that includes the time during which the host was suspended. */
	readonly clock: Clock;
	/** Clock that no change of the time of day moves. */
	readonly steadyClock: Clock;
	readonly table: Table;
	/** Log of the lease task. */
	readonly taskLog: Log;
	readonly report: (event: string, fields: Readonly<Record<string, unknown>>) => void;
	readonly daemon: string;
	/** Rank of this daemon among those that were recently heard, from 0. */
	readonly rank: () => number;
	/** Time within which the calls of two daemons must not alternate, in milliseconds. */
	readonly alternationMs: number;
};

/** Shorter than those of other leases, so that a successor acts before what its predecessor left undone is late. */
const leaseTimes: LeaseTimes = {
	durationMs: 4000, renewalMs: 1250, marginMs: 300, retryMs: 500,
};
/** Remaining time of the lease below which no call begins, in milliseconds; a call ends or is given up in this time. */
const arrivalMarginMs = 1000;
/** Time for which a call may be on its way, in milliseconds. */
const transitMs = 1000;
const releaseTimeoutMs = 500;
/** Time after the start in which a daemon does not compete, in milliseconds; until it has heard of the others, its rank says nothing. */
const startDelayMs = 1500;

/** Lease of duties in the platform's table; must be ticked a few times per second. */
export class StoredDutyLease extends DutyLease implements AsyncDisposable {
	readonly #options: StoredDutyLeaseOptions;
	readonly #lease: LeaseTask;
	/** Delay before a new holder acts: in the order A, B, A it passes twice. */
	readonly #handoverDelayMs: number;
	#isCandidate = false;
	#hasResigned = false;
	#heardAt: number;
	readonly #startedAt: number;
	/** Time after which the lease task needs no more ticks unless this daemon is a candidate. */
	#ticksUntil = Number.NEGATIVE_INFINITY;
	/** Latest of the grants to this daemon that followed each other without another holder in between, and the time of the first on the steady clock. */
	#grants: {readonly fencing: number; readonly since: number} | undefined;
	#lastReported: number | undefined;

	constructor(options: StoredDutyLeaseOptions) {
		super();
		this.#options = options;
		this.#handoverDelayMs = (options.alternationMs / 2) + transitMs;
		this.#startedAt = options.clock.now();
		this.#heardAt = this.#startedAt;
		this.#lease = new LeaseTask({
			log: options.taskLog, table: options.table, clock: options.clock, daemon: options.daemon, group: 'duties', times: leaseTimes,
		});
	}

	get authority(): DutyAuthority | undefined {
		const {held} = this.#lease;
		const now = this.#options.clock.now();
		if (held === undefined || this.#hasResigned || now >= held.expiresAt - arrivalMarginMs) {
			return undefined;
		}

		const since = this.#noteGrant(held.fencing);
		return held.fencing === 1 || this.#options.steadyClock.now() - since >= this.#handoverDelayMs ? {holder: this.#options.daemon, fencing: held.fencing} : undefined;
	}

	/** True while this daemon holds the lease, also during the handover delay. */
	get isHolder(): boolean {
		return !this.#hasResigned && this.#lease.held !== undefined;
	}

	/** Starts to handle the outcome of table calls. */
	run(): void {
		this.#lease.start();
	}

	/** Decides whether to compete, and acquires or renews the lease when that is due. */
	tick(): void {
		const {clock, rank, report} = this.#options;
		const now = clock.now();
		const isHolder = this.#lease.held !== undefined;
		this.#heardAt = isHolder ? now : this.#heardAt;
		this.#setCandidate(!this.#hasResigned && now - this.#startedAt >= startDelayMs && isDutyCandidate({rank: rank(), isHolder, silentMs: now - this.#heardAt}));
		if (this.#isCandidate) {
			this.#ticksUntil = now + leaseTimes.durationMs;
		}

		if (now < this.#ticksUntil) {
			this.#lease.post({kind: 'tick', token: ''});
		}

		const fencing = this.authority?.fencing;
		if (fencing !== this.#lastReported) {
			report(fencing === undefined ? 'duties.ended' : 'duties.begun', {fencing: fencing ?? this.#lastReported});
			this.#lastReported = fencing;
		}
	}

	/** Records that another daemon was heard at the work of duties. */
	holderHeard(): void {
		this.#heardAt = this.#options.clock.now();
	}

	/** Gives up the lease; this daemon begins no call from now on. */
	async resign(): Promise<void> {
		this.#hasResigned = true;
		if (this.#isCandidate) {
			await this.#lease.resign(releaseTimeoutMs);
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#hasResigned = true;
		await this.#lease[Symbol.asyncDispose]();
	}

	/** Without another holder between two grants, nothing separates the calls under them. */
	#noteGrant(fencing: number): number {
		if (this.#grants?.fencing !== fencing) {
			const since = this.#grants?.fencing === fencing - 1 ? this.#grants.since : this.#options.steadyClock.now();
			this.#grants = {fencing, since};
		}

		return this.#grants.since;
	}

	#setCandidate(isCandidate: boolean): void {
		if (isCandidate !== this.#isCandidate) {
			this.#isCandidate = isCandidate;
			this.#lease.post({kind: 'candidacy', isCandidate});
			this.#options.report('duties.candidate', {isCandidate});
		}
	}
}
