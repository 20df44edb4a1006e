/** What a send shows of the time at which the upstream began to run the request. */
export type AnsweredRun = {
	readonly service: string;
	/** Time from the send to its answer or to the loss of the answer, in milliseconds. */
	readonly elapsedMs: number;
	/** False if the answer was lost. */
	readonly isAnswered: boolean;
};

/** Records which client accounts use the upstreams. */
export abstract class UsageRecorder {
	/** Counts a request of an account that an upstream has begun to run: just now, or as `run` shows; called once for each run. */
	abstract recordRun(account: string, run?: AnsweredRun): void;
}

/** Records nothing, for a deployment without client accounts. */
export class NoUsageRecorder extends UsageRecorder {
	recordRun(): void {
		// Nobody asks for the usage.
	}
}
