import type {IncomingMessage, ServerResponse} from 'node:http';
import {NoUsageRecorder, type UsageRecorder} from '../../request/delivery/usage-recorder.ts';
import type {DutyLease} from './duty-lease.ts';

/** Part of the daemon in calls to the platform that one daemon makes for all. */
export abstract class FleetDuties implements AsyncDisposable {
	/** Undefined if the platform expects no calls of duties. */
	abstract readonly lease: DutyLease | undefined;
	abstract readonly usage: UsageRecorder;

	/** Starts to compete for the lease. */
	abstract run(): void;

	/** Takes the next steps that are due; called a few times per second. */
	abstract tick(): void;

	/** Answers another daemon's request; returns false if it is for something else. */
	abstract serve(request: IncomingMessage, response: ServerResponse): boolean;

	/** Gives up the lease for good, so that another daemon can take over sooner. */
	abstract resign(): Promise<void>;

	abstract [Symbol.asyncDispose](): Promise<void>;
}

/** Does nothing, on a platform that expects no calls of duties. */
export class NoFleetDuties extends FleetDuties {
	readonly lease = undefined;
	readonly usage = new NoUsageRecorder();

	run(): void {
		// There is no lease to compete for.
	}

	tick(): void {
		// No step is ever due.
	}

	serve(): boolean {
		return false;
	}

	async resign(): Promise<void> {
		// There is no lease to give up.
	}

	async [Symbol.asyncDispose](): Promise<void> {
		// There is nothing to release.
	}
}
