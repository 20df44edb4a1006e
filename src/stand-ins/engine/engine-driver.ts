import type {Clock} from '../../process/clock.ts';
import type {EngineModel} from './engine-model.ts';
import type {EngineEvent, EngineLoad, EngineWork} from './engine-work.ts';

/** Receives the events of one request. */
export type WorkListener = (event: Extract<EngineEvent, {readonly id: string}>) => void;

/** Receives changes of the prefix cache. */
export type CacheListener = (event: Extract<EngineEvent, {readonly prefix: string}>) => void;

/** Runs an engine model in real time and delivers its events. */
export class EngineDriver implements Disposable {
	readonly #model: EngineModel;
	readonly #clock: Clock;
	readonly #onCacheChange: CacheListener;
	readonly #listeners = new Map<string, WorkListener>();
	#timer: NodeJS.Timeout | undefined;

	constructor(model: EngineModel, clock: Clock, onCacheChange: CacheListener) {
		this.#model = model;
		this.#clock = clock;
		this.#onCacheChange = onCacheChange;
	}

	/** Load at the time of the last event. */
	get load(): EngineLoad {
		return this.#model.load;
	}

	/** Ids of the requests in the engine. */
	get requestIds(): readonly string[] {
		return [...this.#listeners.keys()];
	}

	/** Submits a request; false when the engine is changing its role or the request exceeds its KV memory. */
	submit(work: EngineWork, listener: WorkListener): boolean {
		if (!this.#model.submit(this.#clock.now(), work)) {
			return false;
		}

		this.#listeners.set(work.id, listener);
		this.#schedule();
		return true;
	}

	/** Cancels a request. */
	cancel(id: string): void {
		if (this.#listeners.delete(id)) {
			this.#model.cancel(this.#clock.now(), id);
			this.#schedule();
		}
	}

	/** Multiplies the duration of all later steps. */
	setSlowdown(factor: number): void {
		this.#model.setSlowdown(this.#clock.now(), factor);
		this.#schedule();
	}

	/** Time to transfer the KV cache of a prompt between engines, in milliseconds. */
	kvTransferMs(promptTokens: number): number {
		return this.#model.kvTransferMs(promptTokens);
	}

	[Symbol.dispose](): void {
		clearTimeout(this.#timer);
		this.#listeners.clear();
	}

	#schedule(): void {
		clearTimeout(this.#timer);
		const next = this.#model.nextTime;
		if (next !== Infinity) {
			this.#timer = setTimeout(() => {
				this.#advance();
			}, Math.max(0, next - this.#clock.now()));
		}
	}

	#advance(): void {
		for (const event of this.#model.advance(this.#clock.now())) {
			this.#deliver(event);
		}

		this.#schedule();
	}

	#deliver(event: EngineEvent): void {
		if ('prefix' in event) {
			this.#onCacheChange(event);
		} else if ('id' in event) {
			const listener = this.#listeners.get(event.id);
			if (event.kind === 'finished') {
				this.#listeners.delete(event.id);
			}

			listener?.(event);
		}
	}
}
