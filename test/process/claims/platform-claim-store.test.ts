import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {ClaimGuards} from '../../../src/process/claims/platform-claim-store.ts';
import {
	ClaimSchedule, type SubmissionOutcome, type Reply, type Submission,
} from '../../fixtures/claim-schedule.ts';
import type {CallFault} from '../../fixtures/faulty-table.ts';

type Round = {readonly submissions: readonly Submission[]; readonly deliversLate: boolean};
type Violation = 'ran twice' | 'another answer' | 'false no' | 'blocked after no';

const daemons = 3;
const keys = 3;
const courses: readonly SubmissionOutcome[] = ['answers', 'answers', 'answers', 'not-sent', 'answer-lost', 'dies-before-dispatch', 'dies-after-dispatch', 'dies-after-completion'];
const submission: fc.Arbitrary<Submission> = fc.record({
	daemon: fc.nat(daemons - 1), key: fc.nat(keys - 1), outcome: fc.constantFrom(...courses),
});
const round: fc.Arbitrary<Round> = fc.record({
	submissions: fc.array(submission, {minLength: 1, maxLength: 4}), deliversLate: fc.boolean(),
});
const rounds = fc.array(round, {minLength: 1, maxLength: 6});
const fault = fc.constantFrom<CallFault>('none', 'none', 'none', 'unavailable', 'lost-before', 'lost-after', 'late');
const faults = fc.array(fault, {maxLength: 40});
const allGuards: ClaimGuards = {
	readsBackByToken: true, releasesClaims: true, fencesAmbiguousClaims: true, asksPeers: true,
};

/** Returns true if a reply says that the request did not run, although a request with its key had run on some daemon. */
function isFalseNo({ran, code, hadRun, hadRunBefore, wasDispatched}: Reply): boolean {
	// If the table cannot be read, another daemon may run the key between the lookup and the reply, so only earlier executions count.
	return ran === 'no' && (wasDispatched || (code === 'claims_unavailable' ? hadRunBefore : hadRun));
}

/** Returns true if a key whose requests were all refused as not run still cannot run after the faults have ended. */
async function isBlocked(schedule: ClaimSchedule, key: number, sent: readonly Submission[]): Promise<boolean> {
	const live = schedule.findLive();
	const own = sent.filter(item => item.key === key);
	const refused = schedule.replies.filter(reply => reply.key === key && reply.ran === 'no');
	const hasRun = schedule.executions.some(execution => execution.key === key);
	// A daemon that dies before it has fenced its claim leaves the row claimed; a resend then gets `unknown`.
	const isRefused = own.length === refused.length && own.every(item => schedule.isLive(item.daemon));
	if (live === undefined) {
		return false;
	}

	await schedule.submit({daemon: live, key, outcome: 'answers'});
	return !hasRun && isRefused && schedule.replies.at(-1)?.ran !== 'yes';
}

async function findViolations(
	scheduler: fc.Scheduler,
	steps: readonly Round[],
	schedule: ClaimSchedule,
): Promise<ReadonlySet<Violation>> {
	for (const {submissions, deliversLate} of steps) {
		await scheduler.waitFor(Promise.all(submissions.map(async item => schedule.submit(item))));
		await (deliversLate ? schedule.deliverDelayedWrites() : undefined);
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
	// Guards properties P5 and P6: at most one execution per key, stored answers equal to the first one, and no false `no`.
	it('keeps its guarantees under resends, lost answers, daemon deaths and store outages', async () => {
		await checkSchedules(['ran twice', 'another answer', 'false no', 'blocked after no']);
	});

	// Shows that the schedules above detect a store without the guard.
	it.each<[keyof ClaimGuards, Violation]>([
		['readsBackByToken', 'ran twice'],
		['releasesClaims', 'blocked after no'],
		['fencesAmbiguousClaims', 'blocked after no'],
		['asksPeers', 'false no'],
	])('without the guard %s violates "%s"', async (guard, violation) => {
		await expect(checkSchedules([violation], {...allGuards, [guard]: false})).rejects.toThrow('Property failed');
	});
});
