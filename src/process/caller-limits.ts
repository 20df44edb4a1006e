import type {CallerLimit} from '../connection/caller-connection.ts';
import type {BudgetRefusal} from '../request/caller-budget.ts';

/** Interval between two log lines about limits on callers, in milliseconds. */
const reportIntervalMs = 5000;

/** Where refusals at limits on callers are counted and logged. */
export type CallerLimitOutput = {
	readonly count: (limit: CallerLimit | BudgetRefusal) => void;
	/** Logs how often each limit acted since the last line. */
	readonly log: (counts: Readonly<Record<string, number>>) => void;
};

/** Counts the requests that are refused and the connections that are closed at limits on callers, and logs them in one line per interval. */
export class CallerLimits {
	readonly #output: CallerLimitOutput;
	readonly #counts = new Map<string, number>();
	#reportedAt = Number.NEGATIVE_INFINITY;

	constructor(output: CallerLimitOutput) {
		this.#output = output;
	}

	/** Counts a refusal or a close. */
	note(limit: CallerLimit | BudgetRefusal): void {
		this.#output.count(limit);
		this.#counts.set(limit, (this.#counts.get(limit) ?? 0) + 1);
	}

	/** Logs what was counted since the last line, if anything was and the interval has passed. */
	report(now: number): void {
		if (this.#counts.size > 0 && now - this.#reportedAt >= reportIntervalMs) {
			this.#output.log(Object.fromEntries(this.#counts));
			this.#counts.clear();
			this.#reportedAt = now;
		}
	}
}
