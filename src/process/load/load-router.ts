import type {Host} from '../../ports/host-list.ts';
import type {AttemptEnd, Attempt} from '../../request/attempt-listener.ts';
import type {RequestDemand} from '../../request/request-demand.ts';
import {Router} from '../../request/router.ts';
import type {Clock} from '../clock.ts';
import {type LoadTable, type RoutedRequest} from './load-table.ts';
import {estimateSize} from './request-size.ts';

/** Dependencies of the router. */
export type LoadRouterOptions = {
	readonly clock: Clock;
	readonly loads: LoadTable;
	/** Upstreams that are live as far as this daemon knows. */
	readonly upstreams: () => readonly Host[];
};

const syncIntervalMs = 200;
/** Draws from the load table before falling back to the first candidate, which happens when the candidates are a small fraction of the group. */
const maxDraws = 4;

/** Routes requests by the load table and records their attempts in it. */
export class LoadRouter extends Router {
	readonly #options: LoadRouterOptions;
	readonly #requests = new Map<number, RoutedRequest>();
	#syncedAt = -Infinity;
	#knownUpstreams = '';

	constructor(options: LoadRouterOptions) {
		super();
		this.#options = options;
	}

	choose(demand: RequestDemand, candidates: readonly Host[]): Host | undefined {
		const now = this.#options.clock.now();
		this.#syncUpstreams(now);
		const request = toRoutedRequest(demand);
		const excluded = new Set<string>();
		for (let draw = 0; draw < maxDraws; draw += 1) {
			const id = this.#options.loads.choose(now, {...request, excluded});
			const host = candidates.find(candidate => candidate.id === id);
			if (id === undefined || host !== undefined) {
				return host ?? candidates[0];
			}

			excluded.add(id);
		}

		return candidates[0];
	}

	attemptStarted({attemptId, demand, upstream, startedAt}: Attempt): void {
		const request = toRoutedRequest(demand);
		this.#requests.set(attemptId, request);
		this.#options.loads.start(startedAt, String(attemptId), upstream.id, request);
	}

	override attemptAnswered({attemptId, upstream, startedAt}: Attempt): void {
		const now = this.#options.clock.now();
		this.#options.loads.firstToken(now, String(attemptId), upstream.id, now - startedAt);
	}

	attemptEnded({attemptId, upstream}: Attempt, {outcome, firstByteMs, totalMs}: AttemptEnd): void {
		const now = this.#options.clock.now();
		const request = this.#requests.get(attemptId);
		this.#requests.delete(attemptId);
		this.#options.loads.finish(now, String(attemptId), upstream.id);
		if (outcome === 'invalid_answer') {
			this.#options.loads.reject(now, upstream.id);
		}

		if (outcome === 'complete' && request !== undefined) {
			// Without streaming, the whole response arrives with the first byte.
			const streamMs = Math.max(totalMs - (firstByteMs ?? 0), 0);
			const isStreamed = streamMs > totalMs / 2;
			this.#options.loads.observe(now, upstream.id, request.outputTokens, isStreamed ? streamMs : totalMs);
		}
	}

	/** Passes a changed list of upstreams to the table, which keeps the state of those that remain. */
	#syncUpstreams(now: number): void {
		if (now - this.#syncedAt < syncIntervalMs) {
			return;
		}

		this.#syncedAt = now;
		const upstreams = this.#options.upstreams();
		const known = upstreams.map(({id, serves}) => `${id} ${serves}`).join('\n');
		if (known !== this.#knownUpstreams) {
			this.#knownUpstreams = known;
			this.#options.loads.setUpstreams(now, upstreams.map(({id, availabilityZone, kind, serves}) => ({
				id, availabilityZone, group: `${kind} ${serves}`,
			})));
		}
	}
}

function toRoutedRequest(demand: RequestDemand): RoutedRequest {
	const {call} = demand;
	const group = call.kind === 'model' ? `engine ${call.model}` : `service ${call.service}`;
	return {group, ...estimateSize(demand)};
}
