import type {AccountUsage} from './account-usage.ts';
import {accountKey} from './work-sums.ts';

/** Work that waits, as far as its place among the accounts depends on it. */
export type SharedWork = {
	readonly service: string;
	/** Undefined for callers without an account; they are not put behind others. */
	readonly account: string | undefined;
	readonly work: number;
};

/** Returns the level of each item; `items` are in the order in which those of one account go. An account's own items count before its later ones. */
export function rankByShare<T extends SharedWork>(items: readonly T[], usage: AccountUsage, now: number): ReadonlyMap<T, number> {
	const ahead = new Map<string, number>();
	return new Map(items.map(item => {
		const key = accountKey(item.service, item.account ?? '');
		const before = ahead.get(key) ?? 0;
		ahead.set(key, before + item.work);
		return [item, usage.level(item.service, item.account, before, now)];
	}));
}

/** Level of an item that arrives behind those that wait. */
export function levelOnArrival(arriving: SharedWork, waiting: Iterable<SharedWork>, usage: AccountUsage, now: number): number {
	let ahead = 0;
	for (const {service, account, work} of waiting) {
		ahead += account === arriving.account && service === arriving.service ? work : 0;
	}

	return usage.level(arriving.service, arriving.account, ahead, now);
}
