/** Records which client accounts use the upstreams. */
export abstract class UsageRecorder {
	/** Counts a request of an account that an upstream has begun to run; called once for each run. */
	abstract recordRun(account: string): void;
}

/** Records nothing, for a deployment without client accounts. */
export class NoUsageRecorder extends UsageRecorder {
	recordRun(): void {
		// Nobody asks for the usage.
	}
}
