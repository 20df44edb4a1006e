/** Work that has arrived at one daemon for a service since the daemon started, in milliseconds of one engine's time. */
export type ServiceWork = {
	readonly service: string;
	readonly arrivedMs: number;
	/** The part of it that was refused because it would not have been done in time. */
	readonly refusedMs: number;
};

/** Counts the work that arrives at this daemon. */
export class WorkCounter {
	readonly #work = new Map<string, ServiceWork>();

	/** Records a prompt whose prefill takes an engine this long, in milliseconds. */
	arrived(service: string, ms: number): void {
		this.#add(service, ms, 0);
	}

	/** Records that such a prompt was refused. */
	refused(service: string, ms: number): void {
		this.#add(service, 0, ms);
	}

	/** Sums since the start; also of services without work so far, so that the others know that their sums begin at zero. */
	totals(services: Iterable<string>): readonly ServiceWork[] {
		return [...services].map(service => this.#work.get(service) ?? {service, arrivedMs: 0, refusedMs: 0});
	}

	#add(service: string, arrivedMs: number, refusedMs: number): void {
		const known = this.#work.get(service);
		this.#work.set(service, {service, arrivedMs: (known?.arrivedMs ?? 0) + arrivedMs, refusedMs: (known?.refusedMs ?? 0) + refusedMs});
	}
}
