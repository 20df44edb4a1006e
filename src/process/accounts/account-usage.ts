import {decay} from '../decay.ts';
import {accountKey, WorkSums} from './work-sums.ts';

/** Work of one client account at one service: what its callers asked for, and what was placed at upstreams. */
export type AccountWork = {
	readonly service: string;
	readonly account: string;
	readonly asked: number;
	readonly placed: number;
};

type DecayingWork = {
	asked: number;
	placed: number;
	at: number;
};

/** Shares of one service, valid for a short time. */
type ServiceShares = {
	/** Work to which an account is entitled if it asks for as much. */
	readonly fairWork: number;
	/** Part of the work asked for by all accounts that was placed. */
	readonly placedFraction: number;
	readonly computedAt: number;
};

/** Time after which work counts for 1/e, in milliseconds; about as long as the most patient callers wait for a first event, so that a burst counts while the requests that it delays may still wait. */
const decayMs = 5000;
/** Shares are computed again after this time, and longer with many accounts, because the cost grows with their number; in milliseconds. */
const sharesValidMs = 100;
const sharesValidMsPerAccount = 0.1;
/** Part of the largest work below which an account is forgotten. */
const forgottenFraction = 0.001;
/** Multiple of the fair work up to which an account is not put behind others; requests differ in size, and reports are late. */
const tolerance = 1.25;
/** An account of whose work a smaller part is placed than this multiple of the part of all accounts is not put behind others. */
const minPlacedRatio = 0.35;
/** Largest assumed ratio of the work of an account at all daemons to that at one; it limits the effect of a first request. */
const maxSpread = 100;
/** Part of the work asked for from which a service counts as able to place all of it; the rest waits for a moment. */
const maxScarceFraction = 0.95;
/** Largest level of an account. */
export const maxLevel = 8;

/** Work that client accounts have asked for and used recently at each service, as known to one daemon. */
export class AccountUsage {
	readonly #services = new Map<string, Map<string, DecayingWork>>();
	readonly #shares = new Map<string, ServiceShares>();
	/** Work at this daemon, by service and account. */
	readonly #own = new Map<string, DecayingWork>();
	/** Own work that the other daemons have not been told of yet. */
	readonly #unreported = new WorkSums();

	/** False until work of an account has been recorded, and so without accounts in the configuration. */
	get isActive(): boolean {
		return this.#services.size > 0;
	}

	/** Records work that the callers of an account ask for at this daemon. */
	ask(service: string, account: string, work: number, now: number): void {
		this.#record({
			service, account, asked: work, placed: 0,
		}, now);
	}

	/** Records work of an account that this daemon has placed at an upstream. */
	place(service: string, account: string, work: number, now: number): void {
		this.#record({
			service, account, asked: 0, placed: work,
		}, now);
	}

	/** Adds work at other daemons. */
	addReported(works: readonly AccountWork[], now: number): void {
		for (const work of works) {
			this.#add(work, now);
		}
	}

	/** Returns the own work since the last call, the largest first, for at most `limit` accounts. */
	takeUnreported(limit: number): readonly AccountWork[] {
		return this.#unreported.take(limit);
	}

	/**
	Level of an account in the order of a service: 0 up to its fair work, then one more for each doubling. Requests with a lower level go first.

	`ahead`: work of the account that goes before the request in question.
	*/
	level(service: string, account: string | undefined, ahead: number, now: number): number {
		const accounts = this.#services.get(service);
		if (account === undefined || accounts === undefined || accounts.size < 2) {
			return 0;
		}

		const {fairWork, placedFraction} = this.#sharesOf(service, accounts, now);
		if (placedFraction > maxScarceFraction) {
			return 0;
		}

		const {asked, placed} = this.#estimate(service, account, accounts, now);
		const used = placed + (ahead * this.#spread(service, account, accounts, now));
		if (used < asked * placedFraction * minPlacedRatio) {
			return -1;
		}

		const bound = fairWork * tolerance;
		if (asked <= bound) {
			return 0;
		}

		return used <= bound ? 1 : Math.min(maxLevel, 2 + Math.floor(Math.log2(used / bound)));
	}

	/** Work of an account at all daemons, with what they are expected to have added since they told. */
	#estimate(service: string, account: string, accounts: ReadonlyMap<string, DecayingWork>, now: number): Pick<AccountWork, 'asked' | 'placed'> {
		const known = accounts.get(account);
		if (known === undefined) {
			return {asked: 0, placed: 0};
		}

		const factor = decay(known.at, now, decayMs);
		const unreported = this.#unreported.get(service, account);
		const others = this.#spread(service, account, accounts, now) - 1;
		return {
			asked: (known.asked * factor) + ((unreported?.asked ?? 0) * others), placed: (known.placed * factor) + ((unreported?.placed ?? 0) * others),
		};
	}

	/** Work of an account at all daemons for each unit at this one. */
	#spread(service: string, account: string, accounts: ReadonlyMap<string, DecayingWork>, now: number): number {
		const known = accounts.get(account);
		const own = this.#own.get(accountKey(service, account));
		if (known === undefined || own === undefined) {
			return 1;
		}

		return Math.min(maxSpread, Math.max(1, (known.asked * decay(known.at, now, decayMs)) / Math.max(1, own.asked * decay(own.at, now, decayMs))));
	}

	#record(work: AccountWork, now: number): void {
		this.#add(work, now);
		addDecaying(this.#own, accountKey(work.service, work.account), work, now);
		this.#unreported.add(work);
	}

	#add({service, account, asked, placed}: AccountWork, now: number): void {
		const accounts = this.#services.get(service) ?? new Map<string, DecayingWork>();
		this.#services.set(service, accounts);
		addDecaying(accounts, account, {asked, placed}, now);
	}

	#sharesOf(service: string, accounts: Map<string, DecayingWork>, now: number): ServiceShares {
		const known = this.#shares.get(service);
		if (known !== undefined && now - known.computedAt < sharesValidMs + (accounts.size * sharesValidMsPerAccount)) {
			return known;
		}

		const asked: number[] = [];
		let placedSum = 0;
		let largest = 0;
		for (const work of accounts.values()) {
			const factor = decay(work.at, now, decayMs);
			asked.push(work.asked * factor);
			largest = Math.max(largest, work.asked * factor);
			placedSum += work.placed * factor;
		}

		for (const [account, work] of accounts) {
			if (work.asked * decay(work.at, now, decayMs) < largest * forgottenFraction) {
				accounts.delete(account);
				this.#own.delete(accountKey(service, account));
			}
		}

		const askedSum = asked.reduce((sum, work) => sum + work, 0);
		const shares = {fairWork: divideFairly(asked, placedSum), placedFraction: askedSum === 0 ? 1 : Math.min(1, placedSum / askedSum), computedAt: now};
		this.#shares.set(service, shares);
		return shares;
	}
}

/** Returns the bound for each account at which all accounts together get `total`: accounts that ask for less leave the rest to the others. */
export function divideFairly(asked: readonly number[], total: number): number {
	let remaining = total;
	const ordered = asked.toSorted((a, b) => a - b);
	for (const [index, work] of ordered.entries()) {
		const equal = remaining / (ordered.length - index);
		if (work >= equal) {
			return equal;
		}

		remaining -= work;
	}

	return Number.POSITIVE_INFINITY;
}

function addDecaying(works: Map<string, DecayingWork>, key: string, {asked, placed}: Pick<AccountWork, 'asked' | 'placed'>, now: number): void {
	const known = works.get(key);
	if (known === undefined) {
		works.set(key, {asked, placed, at: now});
		return;
	}

	const factor = decay(known.at, now, decayMs);
	known.asked = (known.asked * factor) + asked;
	known.placed = (known.placed * factor) + placed;
	known.at = now;
}
