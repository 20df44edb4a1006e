import type {Clock} from '../../process/clock.ts';
import type {EngineLoad} from './engine-work.ts';

const sampleIntervalMs = 100;
const sampleRetentionMs = 60_000;

/** Samples the load of an engine and reports it with a configurable lag. */
export class LoadSampler implements Disposable {
	readonly #clock: Clock;
	readonly #readLoad: () => EngineLoad;
	readonly #timer: NodeJS.Timeout;
	#samples: ReadonlyArray<{readonly at: number; readonly load: EngineLoad}>;

	constructor(clock: Clock, read: () => EngineLoad) {
		this.#clock = clock;
		this.#readLoad = read;
		this.#samples = [{at: clock.now(), load: read()}];
		this.#timer = setInterval(() => {
			this.#sample();
		}, sampleIntervalMs);
	}

	/** Formats the load as it was `lagMs` ago in the Prometheus text format. */
	format(lagMs: number): string {
		const reportedAt = this.#clock.now() - lagMs;
		const load = lagMs === 0
			? this.#readLoad()
			: (this.#samples.findLast(({at}) => at <= reportedAt) ?? this.#samples[0]!).load;
		return [
			`engine_running_requests ${load.running}`,
			`engine_waiting_requests ${load.waiting}`,
			`engine_outstanding_tokens ${load.outstandingTokens}`,
			`engine_kv_pieces_used ${load.kvPiecesUsed}`,
			`engine_kv_pieces_total ${load.kvPiecesTotal}`,
			'',
		].join('\n');
	}

	[Symbol.dispose](): void {
		clearInterval(this.#timer);
	}

	#sample(): void {
		const now = this.#clock.now();
		this.#samples = [...this.#samples.filter(({at}) => at > now - sampleRetentionMs), {at: now, load: this.#readLoad()}];
	}
}
