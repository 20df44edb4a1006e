import type {ReportedLoad} from '../../ports/upstream-protocol.ts';
import type {
	PlacementDemand, Placement, PlacementRefusal, SendResult,
} from '../../request/delivery/upstream-scheduler.ts';
import type {Clock} from '../clock.ts';
import type {Random} from '../random.ts';
import type {DecisionLog} from './decision-log.ts';
import type {UpstreamState} from './upstream-state.ts';

/** What placements need. */
export type PlacementsOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: DecisionLog;
	/** Told when this daemon's load on an upstream has changed. */
	readonly onLoadChanged: (upstream: string) => void;
	/** Told when a place was given back. */
	readonly onReleased: () => void;
	/** Told when an upstream refuses connections. */
	readonly onUpstreamDown: (upstream: string) => void;
};

const minRetryDelayMs = 400;

/** Creates places at upstreams, and refusals that tell when to come back. */
export class Placements {
	readonly #options: PlacementsOptions;

	constructor(options: PlacementsOptions) {
		this.#options = options;
	}

	/** Creates a place; `finish` is called once, when it is given back. */
	create(
		state: UpstreamState,
		values: Pick<Placement, 'predictedMs' | 'rank' | 'fetchFrom'>,
		finish: (end: SendResult, now: number) => void,
	): Placement {
		const {clock, onLoadChanged: onChanged, onReleased, onUpstreamDown: onDown} = this.#options;
		const {id} = state.upstream;
		let isReleased = false;
		onChanged(id);
		return {
			upstream: state.upstream,
			...values,
			reportLoad(load: ReportedLoad) {
				state.observe(load, clock.now());
			},
			release(end) {
				if (isReleased) {
					return;
				}

				isReleased = true;
				finish(end, clock.now());
				if (end.kind === 'refused') {
					onDown(id);
				}

				onChanged(id);
				onReleased();
			},
		};
	}

	/** Refuses a demand; its caller may come back when the backlog is expected to be worked off, spread so that the return is no burst. */
	refuse({request, service}: PlacementDemand, reason: PlacementRefusal['reason'], predictedMs = 0): PlacementRefusal {
		const retryAfterMs = Math.max(minRetryDelayMs, predictedMs) * (0.5 + this.#options.random.next());
		this.#options.log.write('placement.refused', {
			request: request.id, service, reason, predictedMs: Math.round(predictedMs), retryAfterMs: Math.round(retryAfterMs),
		});
		return {reason, retryAfterMs};
	}
}
