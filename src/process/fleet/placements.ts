import type {ReportedLoad} from '../../ports/upstream-protocol.ts';
import type {
	PlacementDemand, Placement, PlacementRefusal, SendResult,
} from '../../request/delivery/upstream-scheduler.ts';
import type {Clock} from '../clock.ts';
import type {DownEvidence} from '../crashes/crash-attribution.ts';
import type {Random} from '../random.ts';
import type {DecisionLog} from './decision-log.ts';
import type {UpstreamState} from './upstream-state.ts';

/** Dependencies of placements. */
export type PlacementsOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: DecisionLog;
	/** Called when this daemon's load on an upstream has changed. */
	readonly onLoadChanged: (upstream: string) => void;
	/** Called when a placement has been released. */
	readonly onReleased: () => void;
	/** Called when an upstream has rejected a send, with the time for which it is avoided in milliseconds. */
	readonly onRejected: (upstream: string, avoidedMs: number) => void;
	/** Called when an upstream refuses connections or another one has its address. */
	readonly onUpstreamDown: (upstream: string, evidence: DownEvidence) => void;
};

/** Shortest delay, before jitter, after which a refused caller is told to retry. */
const minRetryDelayMs = 400;

/** Creates placements at upstreams, and refusals with a retry delay. */
export class Placements {
	readonly #options: PlacementsOptions;

	constructor(options: PlacementsOptions) {
		this.#options = options;
	}

	/** Creates a placement; `finish` is called once, on its release. */
	create(
		state: UpstreamState,
		values: Pick<Placement, 'predictedMs' | 'rank' | 'fetchFrom'>,
		finish: (end: SendResult, now: number) => void,
		onFirstEvent: (now: number) => void = () => undefined,
	): Placement {
		const {clock, onLoadChanged, onReleased, onRejected, onUpstreamDown} = this.#options;
		const {id} = state.upstream;
		let isReleased = false;
		onLoadChanged(id);
		return {
			upstream: state.upstream,
			...values,
			reportFirstEvent() {
				onFirstEvent(clock.now());
				onLoadChanged(id);
			},
			reportLoad(load: ReportedLoad) {
				state.observe(load, clock.now());
			},
			reportSilence() {
				state.avoid(clock.now());
			},
			release(end) {
				if (isReleased) {
					return;
				}

				isReleased = true;
				finish(end, clock.now());
				if (end.kind === 'refused' || end.kind === 'misdirected') {
					onUpstreamDown(id, end.kind === 'refused' ? 'refused' : 'restarted');
				}

				if (end.kind === 'rejected') {
					onRejected(id, state.avoidedMs(clock.now()));
				}

				onLoadChanged(id);
				onReleased();
			},
		};
	}

	/** Refuses a demand; the retry delay lasts until the backlog should be cleared, with jitter to avoid a burst of retries. */
	refuse({request, service}: PlacementDemand, reason: PlacementRefusal['reason'], predictedMs = 0): PlacementRefusal {
		const retryAfterMs = Math.max(minRetryDelayMs, predictedMs) * (0.5 + this.#options.random.next());
		this.#options.log.write('placement.refused', {
			request: request.id, service, reason, predictedMs: Math.round(predictedMs), retryAfterMs: Math.round(retryAfterMs),
		});
		return {reason, retryAfterMs};
	}
}
