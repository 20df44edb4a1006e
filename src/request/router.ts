import type {Host} from '../ports/host-list.ts';
import {AttemptListener, type Attempt} from './attempt-listener.ts';
import type {RequestDemand} from './request-demand.ts';

/** Chooses an upstream for each attempt and learns from the outcomes. */
export abstract class Router extends AttemptListener {
	/** Chooses among the live candidates that the request has not tried; returns undefined when none is usable. */
	abstract choose(demand: RequestDemand, candidates: readonly Host[]): Host | undefined;
}

/** Chooses the upstream with the fewest open attempts from this daemon. */
export class LeastOutstandingRouter extends Router {
	readonly #outstanding = new Map<string, number>();

	choose(_demand: RequestDemand, candidates: readonly Host[]): Host | undefined {
		let best = candidates[0];
		for (const candidate of candidates) {
			best = best === undefined || this.#countOf(candidate) < this.#countOf(best) ? candidate : best;
		}

		return best;
	}

	attemptStarted({upstream}: Attempt): void {
		this.#outstanding.set(upstream.id, this.#countOf(upstream) + 1);
	}

	attemptEnded({upstream}: Attempt): void {
		const count = this.#countOf(upstream) - 1;
		if (count > 0) {
			this.#outstanding.set(upstream.id, count);
		} else {
			this.#outstanding.delete(upstream.id);
		}
	}

	#countOf(upstream: Host): number {
		return this.#outstanding.get(upstream.id) ?? 0;
	}
}
