type Delivery = {
	/** Monotonic time in milliseconds. */
	readonly dueAt: number;
	readonly deliver: () => void;
};

/** Delays deliveries without changing their order, as a connection does whose delay changes. */
export class OrderedDelay {
	readonly #waiting: Delivery[] = [];

	/** Delivers after a delay, and after all earlier deliveries. */
	schedule(delayMs: number, deliver: () => void): void {
		if (delayMs === 0 && this.#waiting.length === 0) {
			deliver();
			return;
		}

		const now = performance.now();
		const dueAt = Math.max(now + delayMs, this.#waiting.at(-1)?.dueAt ?? 0);
		this.#waiting.push({dueAt, deliver});
		setTimeout(() => {
			this.#deliverDue();
		}, Math.ceil(dueAt - now));
	}

	#deliverDue(): void {
		const now = performance.now();
		while (this.#waiting.length > 0 && this.#waiting[0]!.dueAt <= now) {
			this.#waiting.shift()!.deliver();
		}

		const [next] = this.#waiting;
		if (next !== undefined) {
			setTimeout(() => {
				this.#deliverDue();
			}, Math.ceil(next.dueAt - now));
		}
	}
}
