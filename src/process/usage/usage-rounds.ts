import type {Either} from 'purify-ts';
import type {UsageAnswer, UsageQuery} from '../../connection/usage-exchange.ts';
import type {Clock} from '../clock.ts';
import type {FleetTime} from './fleet-time.ts';
import type {UsageCollection} from './usage-collection.ts';
import {keptWindows, type UsageLedger} from './usage-ledger.ts';

/** Another daemon with the address at which it answers. */
export type UsageMember = {
	readonly daemon: string;
	readonly address: string;
};

/** What the rounds need. */
export type UsageRoundsOptions = {
	/** Clock that no change of the time of day moves. */
	readonly clock: Clock;
	readonly time: FleetTime;
	readonly ledger: UsageLedger;
	readonly collection: UsageCollection;
	readonly members: () => readonly UsageMember[];
	readonly fetch: (address: string, query: UsageQuery) => Promise<Either<string, UsageAnswer>>;
	readonly windowMs: number;
	/** Called when all daemons have answered in a round. */
	readonly onComplete: () => void;
};

/** Time after the end of a window in which runs that began in it are still recorded, in milliseconds. */
const settleMs = 800;
/** Longest time between two rounds, in milliseconds; a daemon that ends takes the counts of this time with it. */
const maxRoundIntervalMs = 2500;
const minRoundsPerWindow = 2;
/** Time after which daemons that have not answered in a round are asked again, in milliseconds. */
const retryMs = 1000;
const maxConcurrentFetches = 16;
/** Part of a fetch after which the other daemon reads the request: the connection takes one round trip, the request half of another one. */
const readFraction = 0.75;
/** Growth of the shortest duration of a fetch by each longer one, so that it follows a path that has become longer. */
const pathGrowthFactor = 1.1;

/** Asks all daemons for their counts in rounds while this daemon holds the lease of duties. */
export class UsageRounds {
	readonly #options: UsageRoundsOptions;
	readonly #intervalMs: number;
	#round = Number.NEGATIVE_INFINITY;
	/** Latest round in which all daemons have answered. */
	#completeRound = Number.NEGATIVE_INFINITY;
	readonly #reached = new Set<string>();
	#missing: readonly string[] = [];
	#isFetching = false;
	#fetchedAt = Number.NEGATIVE_INFINITY;
	#hasEstimatedTime = false;
	/** Shortest duration of a fetch, by daemon, in milliseconds. */
	readonly #fetchMs = new Map<string, number>();

	constructor(options: UsageRoundsOptions) {
		this.#options = options;
		this.#intervalMs = options.windowMs / Math.max(minRoundsPerWindow, Math.ceil(options.windowMs / maxRoundIntervalMs));
	}

	/** Number of daemons, including this one, that have answered in the present round. */
	get reachedCount(): number {
		return this.#reached.size + 1;
	}

	/** Daemons that have not answered in the present round. */
	get missing(): readonly string[] {
		return this.#missing;
	}

	/** True if all daemons have answered since the window has settled. */
	isComplete(window: number): boolean {
		return this.#completeRound >= Math.round(((window + 1) * this.#options.windowMs) / this.#intervalMs);
	}

	/** Begins a round, or asks the missing daemons again, when that is due. */
	tick(): void {
		const {time, clock} = this.#options;
		const round = Math.floor((time.now() - settleMs) / this.#intervalMs);
		if (this.#isFetching) {
			return;
		}

		if (round !== this.#round) {
			this.#round = round;
			this.#reached.clear();
			void this.#fetchMissing();
		} else if (this.#missing.length > 0 && clock.now() - this.#fetchedAt >= retryMs) {
			void this.#fetchMissing();
		}
	}

	/** Ends the tenure of this daemon; the time is estimated anew in the next one before it is told. */
	end(): void {
		this.#round = Number.NEGATIVE_INFINITY;
		this.#completeRound = Number.NEGATIVE_INFINITY;
		this.#hasEstimatedTime = false;
	}

	get #present(): number {
		return Math.floor(this.#options.time.now() / this.#options.windowMs);
	}

	async #fetchMissing(): Promise<void> {
		const {members, clock, ledger, collection, time} = this.#options;
		this.#isFetching = true;
		this.#fetchedAt = clock.now();
		const round = this.#round;
		const from = this.#present - keptWindows;
		const waiting = members().filter(({daemon}) => !this.#reached.has(daemon));
		const pending = [...waiting];
		await Promise.all(Array.from({length: maxConcurrentFetches}, async () => {
			for (let member = pending.shift(); member !== undefined; member = pending.shift()) {
				await this.#fetch(member, from);
			}
		}));
		collection.add(ledger.snapshot(from), this.#present);
		time.estimate();
		this.#hasEstimatedTime = true;
		this.#isFetching = false;
		this.#missing = waiting.filter(({daemon}) => !this.#reached.has(daemon)).map(({daemon}) => daemon);
		if (this.#missing.length === 0 && round === this.#round) {
			this.#completeRound = round;
			this.#options.onComplete();
		}
	}

	async #fetch({daemon, address}: UsageMember, from: number): Promise<void> {
		const {clock, time, collection, fetch} = this.#options;
		const startedAt = clock.now();
		const readDelayMs = (this.#fetchMs.get(daemon) ?? 0) * readFraction;
		const result = await fetch(address, {from, time: this.#hasEstimatedTime ? time.now() + readDelayMs : undefined});
		const elapsedMs = clock.now() - startedAt;
		result.ifRight(({timeOfDay, ...snapshot}) => {
			this.#reached.add(daemon);
			this.#fetchMs.set(daemon, Math.min(elapsedMs, (this.#fetchMs.get(daemon) ?? elapsedMs) * pathGrowthFactor));
			time.measure(daemon, timeOfDay, startedAt + (elapsedMs * readFraction));
			collection.add(snapshot, this.#present);
		});
	}
}
