import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {ClaimGuards} from '../../../src/process/claims/platform-claim-store.ts';
import {
	ClaimSchedule, type Course, type Reply, type Submission,
} from '../../fixtures/claim-schedule.ts';
import type {CallFault} from '../../fixtures/faulty-table.ts';

type Round = {readonly submissions: readonly Submission[]; readonly deliversLate: boolean};
type Violation = 'ran twice' | 'another answer' | 'false no' | 'blocked after no';

const daemons = 3;
const keys = 3;
const courses: readonly Course[] = ['answers', 'answers', 'answers', 'not-sent', 'answer-lost', 'dies-before-dispatch', 'dies-after-dispatch', 'dies-after-completion'];
const submission: fc.Arbitrary<Submission> = fc.record({
	daemon: fc.nat(daemons - 1), key: fc.nat(keys - 1), course: fc.constantFrom(...courses),
});
const round: fc.Arbitrary<Round> = fc.record({
	submissions: fc.array(submission, {minLength: 1, maxLength: 4}), deliversLate: fc.boolean(),
});
const rounds = fc.array(round, {minLength: 1, maxLength: 6});
const fault = fc.constantFrom<CallFault>('none', 'none', 'none', 'unavailable', 'lost-before', 'lost-after', 'late');
const faults = fc.array(fault, {maxLength: 40});
const allGuards: ClaimGuards = {
	readsBackByToken: true, releasesClaims: true, fencesOpenClaims: true, asksWitnesses: true,
};

/** A reply says `no` wrongly when the key had run, at any daemon, before the request was sent. */
function isFalseNo({ran, code, hadRun, hadRunBefore, wasDispatched}: Reply): boolean {
	// While the table cannot be read, another daemon may run the key between the question and the reply.
	return ran === 'no' && (wasDispatched || (code === 'claims_unavailable' ? hadRunBefore : hadRun));
}

/** A key that was only ever refused as not run must run when it is sent again after the faults. */
async function isBlocked(schedule: ClaimSchedule, key: number, sent: readonly Submission[]): Promise<boolean> {
	const live = schedule.findLive();
	const own = sent.filter(item => item.key === key);
	const refused = schedule.replies.filter(reply => reply.key === key && reply.ran === 'no');
	const hasRun = schedule.executions.some(execution => execution.key === key);
	// A daemon that dies before it has fenced its claim leaves it claimed; a resend is then told `unknown`.
	const isRefused = own.length === refused.length && own.every(item => schedule.isLive(item.daemon));
	if (live === undefined) {
		return false;
	}

	await schedule.submit({daemon: live, key, course: 'answers'});
	return !hasRun && isRefused && schedule.replies.at(-1)?.ran !== 'yes';
}

async function findViolations(
	scheduler: fc.Scheduler,
	steps: readonly Round[],
	schedule: ClaimSchedule,
): Promise<ReadonlySet<Violation>> {
	for (const {submissions, deliversLate} of steps) {
		await scheduler.waitFor(Promise.all(submissions.map(async item => schedule.submit(item))));
		await (deliversLate ? schedule.deliverLate() : undefined);
	}

	await schedule.heal();
	const violations = new Set<Violation>();
	const sent = steps.flatMap(({submissions}) => submissions);
	for (const key of new Set(sent.map(item => item.key))) {
		if (await isBlocked(schedule, key, sent)) {
			violations.add('blocked after no');
		}

		const own = schedule.executions.filter(execution => execution.key === key);
		if (own.length > 1) {
			violations.add('ran twice');
		}

		if (schedule.replies.some(reply => reply.key === key && reply.ran === 'yes' && reply.body !== own[0]?.body)) {
			violations.add('another answer');
		}
	}

	return schedule.replies.some(reply => isFalseNo(reply)) ? violations.add('false no') : violations;
}

async function checkSchedules(forbidden: readonly Violation[], guards = allGuards): Promise<void> {
	await fc.assert(fc.asyncProperty(fc.scheduler(), rounds, faults, async (scheduler, steps, calls) => {
		const violations = await findViolations(scheduler, steps, new ClaimSchedule(daemons, calls, scheduler, guards));
		return forbidden.every(violation => !violations.has(violation));
	}), {numRuns: 1500, seed: 5, endOnFailure: true});
}

describe('PlatformClaimStore', () => {
	// P6 and P5: at most one execution for each key, stored answers equal the first, no false `no`.
	it('holds under resends, lost answers, deaths and store outages', async () => {
		await checkSchedules(['ran twice', 'another answer', 'false no', 'blocked after no']);
	});

	// Shows that the schedules above would catch a store without the guard.
	it.each<[keyof ClaimGuards, Violation]>([
		['readsBackByToken', 'ran twice'],
		['releasesClaims', 'blocked after no'],
		['fencesOpenClaims', 'blocked after no'],
		['asksWitnesses', 'false no'],
	])('without the guard %s shows "%s"', async (guard, violation) => {
		await expect(checkSchedules([violation], {...allGuards, [guard]: false})).rejects.toThrow('Property failed');
	});
});
