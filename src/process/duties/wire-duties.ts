import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	fetchUsage, serveUsage, type UsageAnswer, type UsageQuery,
} from '../../connection/usage-exchange.ts';
import type {PlatformDuties} from '../../ports/platform-duties.ts';
import type {Table} from '../../ports/table.ts';
import type {FleetSettings} from '../../version/fleet-settings.ts';
import type {Clock} from '../clock.ts';
import type {DecisionLog} from '../fleet/decision-log.ts';
import type {FleetMetrics} from '../fleet/fleet-metrics.ts';
import type {Log} from '../log.ts';
import type {PeerTopology} from '../peers/peer-topology.ts';
import type {StoreEpoch} from '../tables/store-epoch.ts';
import {FleetTime} from '../usage/fleet-time.ts';
import {UsageCollection} from '../usage/usage-collection.ts';
import {UsageLedger} from '../usage/usage-ledger.ts';
import {UsageReporter} from '../usage/usage-reporter.ts';
import {UsageRounds} from '../usage/usage-rounds.ts';
import {UsageRows} from '../usage/usage-rows.ts';
import {FleetDuties, NoFleetDuties} from './fleet-duties.ts';
import {StoredDutyLease} from './stored-duty-lease.ts';

/** What the duties need from the daemon. */
export type DutiesOptions = {
	readonly settings: Pick<FleetSettings, 'daemon' | 'duties' | 'bounds'>;
	readonly platform: {
		readonly duties: PlatformDuties | undefined;
		readonly table: Table;
		readonly epoch: Pick<StoreEpoch, 'current'>;
	};
	readonly log: DecisionLog;
	readonly taskLog: Log;
	readonly clock: Clock;
	readonly suspendAwareClock: Clock;
	readonly topology: Pick<PeerTopology, 'relayRank' | 'members'>;
	readonly metrics: Pick<FleetMetrics, 'addDutyGauges' | 'usageReported'>;
	/** Time of day of this host, in milliseconds; that of the system by default. */
	readonly wallClock?: () => number;
	/** Asks another daemon for its counts; by HTTP by default. */
	readonly fetch?: typeof fetchUsage;
};

/** Length of a window in milliseconds where no usage is reported; the rounds then only show that a holder is at work. */
const defaultWindowMs = 5000;

/** Creates the duties of a daemon; without an address of duties there are none. */
export function wireDuties(options: DutiesOptions): FleetDuties {
	const {settings: {duties: dutySettings}, platform: {duties}} = options;
	return dutySettings === undefined || duties === undefined ? new NoFleetDuties() : new WiredDuties(options, dutySettings, duties);
}

/** Lease of duties, and the collection and report of usage. */
export class WiredDuties extends FleetDuties {
	readonly lease: StoredDutyLease;
	readonly usage: UsageLedger;
	readonly #time: FleetTime;
	readonly #rounds: UsageRounds;
	readonly #reporter: UsageReporter | undefined;
	readonly #wallClock: () => number;
	#wasHolder = false;

	constructor(options: DutiesOptions, {reportWindowMs, reportDueMs}: NonNullable<FleetSettings['duties']>, duties: PlatformDuties) {
		super();
		const {settings: {daemon, bounds}, platform: {table, epoch}, log, clock, topology, metrics} = options;
		this.#wallClock = options.wallClock ?? (() => Date.now());
		const report = (event: string, fields: Readonly<Record<string, unknown>>) => {
			log.write(event, fields);
		};

		this.lease = new StoredDutyLease({
			clock: options.suspendAwareClock, steadyClock: clock, table, taskLog: options.taskLog, report, daemon: daemon.name,
			rank: () => topology.relayRank(clock.now()), alternationMs: bounds.leaseMs,
		});
		const time = new FleetTime(clock, this.#wallClock);
		this.#time = time;
		const windowMs = reportWindowMs ?? defaultWindowMs;
		this.usage = new UsageLedger({now: () => time.now(), windowMs, instance: `${daemon.name}/${randomUUID()}`});
		const collection = new UsageCollection();
		const rounds = new UsageRounds({
			clock, time, ledger: this.usage, collection, members: () => topology.members, fetch: options.fetch ?? fetchUsage, windowMs,
			onComplete: () => {
				if (this.lease.isHolder) {
					this.#reporter?.tick();
				}
			},
		});
		this.#rounds = rounds;
		this.#reporter = reportWindowMs === undefined
			? undefined
			: new UsageReporter({
				clock, time, lease: this.lease, duties, rows: new UsageRows(table), epoch: () => epoch.current, collection, rounds, windowMs, dueMs: reportDueMs, report,
				onResult(result) {
					metrics.usageReported(result);
				},
			});
		metrics.addDutyGauges({
			isHolder: () => this.lease.authority !== undefined,
			usageLagMs: () => this.lease.isHolder ? this.#reporter?.lagMs ?? 0 : 0,
			reachedDaemons: () => this.lease.isHolder ? rounds.reachedCount : 0,
		});
	}

	run(): void {
		this.lease.run();
	}

	tick(): void {
		this.lease.tick();
		this.#reporter?.noteEpoch();
		const {isHolder} = this.lease;
		if (isHolder) {
			this.#rounds.tick();
			this.#reporter?.tick();
		} else if (this.#wasHolder) {
			this.#rounds.end();
			this.#reporter?.end();
		}

		this.#wasHolder = isHolder;
	}

	serve(request: IncomingMessage, response: ServerResponse): boolean {
		return serveUsage(request, response, query => this.answer(query));
	}

	/** Answers the holder of duties, from which this daemon takes over the time. */
	answer({from, time}: UsageQuery): UsageAnswer {
		this.lease.holderHeard();
		if (time !== undefined) {
			this.#time.hear(time);
		}

		return {...this.usage.snapshot(from), timeOfDay: this.#wallClock()};
	}

	async resign(): Promise<void> {
		await this.lease.resign();
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.lease[Symbol.asyncDispose]();
	}
}
