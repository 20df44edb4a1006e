import type {DutyAuthority} from '../../ports/platform-duties.ts';

/** Decides which daemon makes the calls of duties for all. */
export abstract class DutyLease {
	/** Authority of this daemon; undefined unless it may begin a call at this very moment. */
	abstract get authority(): DutyAuthority | undefined;

	/** True if a call with this authority may begin at this very moment; to be asked again right before the call is written. */
	mayAct({fencing}: DutyAuthority): boolean {
		return this.authority?.fencing === fencing;
	}
}
