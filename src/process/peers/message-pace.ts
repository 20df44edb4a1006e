/** Share of its time up to which a process sends at the usual pace, and from which it sends most slowly. */
const usualShare = 0.6;
const slowestShare = 0.9;
/** Longest delays as a multiple of the usual ones; beyond it, news of crashes would reach the other daemons later than `newsDelayMs` of their turns. */
const maxStretch = 2;
/** Weight of the latest measurement in the mean. */
const latestWeight = 0.3;

/**
Lengthens the delays of messages between daemons while the process is short of processor time.

Each message costs its sender and all receivers about the same, however much it tells. A host whose process has little time left
for its callers therefore collects more news in fewer messages.
*/
export class MessagePace {
	readonly #measureBusyShare: () => number;
	#busyShare = 0;

	/** `measureBusyShare` returns the share of the time since its last call in which the process was not idle. */
	constructor(measureBusyShare: () => number) {
		this.#measureBusyShare = measureBusyShare;
	}

	/** Multiple of the usual delays. */
	get stretch(): number {
		const excess = (this.#busyShare - usualShare) / (slowestShare - usualShare);
		return 1 + ((maxStretch - 1) * Math.min(1, Math.max(0, excess)));
	}

	/** Measures how busy the process is; called at regular intervals. */
	measure(): void {
		this.#busyShare += latestWeight * (this.#measureBusyShare() - this.#busyShare);
	}
}

/** Returns a function that measures the busy share of this process since its last call, from the time that its event loop waited for events. */
export function createBusyMeter(): () => number {
	let last = performance.eventLoopUtilization();
	return () => {
		const current = performance.eventLoopUtilization();
		const {utilization} = performance.eventLoopUtilization(current, last);
		last = current;
		return utilization;
	};
}
