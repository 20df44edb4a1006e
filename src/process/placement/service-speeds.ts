import {prefillRate as initialPrefillRate, type PrefillRate} from '../fleet/placement-score.ts';
import {DurationFit} from './duration-fit.ts';

/** Duration of one prefill, to learn the speed of engines from. */
export type PrefillObservation = {
	/** Weighted tokens of the prompt and of the backlog ahead of it, multiplied by the slowdown that the engine reported. */
	readonly tokens: number;
	readonly elapsedMs: number;
};

/** Speeds of the engines of one service, as means over all engines. */
export type EngineSpeeds = {
	/** Prefill at prefill engines. */
	readonly prefill: PrefillRate;
	/** Prefill and first step at decode engines. */
	readonly whole: PrefillRate;
	/** Time from the end of a prefill apart to the first event: the KV cache transfer and the first decode step, in milliseconds. */
	readonly firstEventDelayMs: number;
	/** Time between the events of an answer, in milliseconds. */
	readonly eventMs: number;
};

/** Prefill speed of a decode engine relative to that of a prefill engine: it prefills between the tokens of its running requests. */
const decodePrefillSpeed = 0.5;
/** Time of the first step after the prefill at a decode engine, in milliseconds. */
const firstStepMs = 30;
const initialFirstEventDelayMs = 60;
const initialEventMs = 40;
const minFirstEventDelayMs = 20;
const maxFirstEventDelayMs = 150;
/** Longest duration from which the delay of the first event is learned, in milliseconds; longer ones are waits for a slot. */
const maxObservedDelayMs = 400;

/** Learns the speeds of the engines of one service from the durations of sends to any of them. */
class ServiceFits {
	readonly prefill = new DurationFit(initialPrefillRate);
	readonly whole = new DurationFit({tokensPerMs: initialPrefillRate.tokensPerMs * decodePrefillSpeed, fixedMs: firstStepMs});
	readonly events = new DurationFit({tokensPerMs: initialPrefillRate.tokensPerMs, fixedMs: initialEventMs});
	readonly firstEvent = new DurationFit({tokensPerMs: initialPrefillRate.tokensPerMs, fixedMs: initialFirstEventDelayMs});

	get speeds(): EngineSpeeds {
		return {
			prefill: this.prefill.rate,
			whole: this.whole.rate,
			eventMs: Math.max(1, this.events.rate.fixedMs),
			firstEventDelayMs: Math.min(maxFirstEventDelayMs, Math.max(minFirstEventDelayMs, this.firstEvent.rate.fixedMs)),
		};
	}
}

/** Speeds of the engines of all services. A daemon that knows nothing starts with the speeds of a common engine. */
export class ServiceSpeeds {
	readonly #services = new Map<string, ServiceFits>();

	/** Speeds of the engines of a service. */
	of(service: string): EngineSpeeds {
		return this.#fits(service).speeds;
	}

	/** Recent prefills that the speed of a service's prefill engines was learned from. */
	observations(service: string): number {
		return this.#fits(service).prefill.observations;
	}

	/** Records a prefill at a prefill engine. */
	observePrefill(service: string, {tokens, elapsedMs}: PrefillObservation, now: number): void {
		this.#fits(service).prefill.observe(tokens, elapsedMs, now);
	}

	/** Records the time to the first event of a request whose prompt a decode engine prefilled. */
	observeWhole(service: string, {tokens, elapsedMs}: PrefillObservation, now: number): void {
		this.#fits(service).whole.observe(tokens, elapsedMs, now);
	}

	/** Records the mean time between the events of an answer. */
	observeEvents(service: string, eventMs: number, now: number): void {
		this.#fits(service).events.observe(0, eventMs, now);
	}

	/** Records the time to the first event of a request whose prompt was prefilled apart. */
	observeFirstEvent(service: string, elapsedMs: number, now: number): void {
		if (elapsedMs <= maxObservedDelayMs) {
			this.#fits(service).firstEvent.observe(0, elapsedMs, now);
		}
	}

	#fits(service: string): ServiceFits {
		const known = this.#services.get(service) ?? new ServiceFits();
		this.#services.set(service, known);
		return known;
	}
}
