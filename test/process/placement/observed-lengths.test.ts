import {
	describe, expect, test, vi,
} from 'vitest';
import {ManualClock} from '../../../src/process/clock.ts';
import type {FleetScheduler} from '../../../src/process/fleet/fleet-scheduler.ts';
import {UpstreamRegistry} from '../../../src/process/fleet/upstream-registry.ts';
import type {RouteRequest} from '../../../src/request/delivery/route-request.ts';
import {isPlaced, type PlacementDemand, type SendResult} from '../../../src/request/delivery/upstream-scheduler.ts';
import {
	createRequest, createRoute, createUpstream,
} from '../../fixtures/fleet/configuration.ts';
import {createScheduler} from '../../fixtures/fleet/scheduler.ts';

type AnswerOptions = {readonly hint?: number; readonly kind?: SendResult['kind']; readonly tried?: string; readonly lastEventId?: string};

class AnswerFixture {
	readonly ended = vi.fn<(isHinted: boolean, events: number, expectedEvents: number) => void>();
	readonly #scheduler: FleetScheduler;

	constructor() {
		const clock = new ManualClock(1000);
		const registry = new UpstreamRegistry();
		for (const id of ['d-1', 'd-2']) {
			registry.set(createUpstream({id, stage: 'decode'}));
		}

		this.#scheduler = createScheduler({clock, registry, onAnswerEnded: this.ended});
	}

	/** Places a decode whose stream ends after a number of events. */
	async answer(events: number, {hint, kind = 'served', tried, lastEventId}: AnswerOptions = {}): Promise<void> {
		const request: RouteRequest = createRequest({
			lastEventId, prompt: {
				tokens: 10, maxOutputTokens: 80, parts: [], expectedOutputTokens: hint,
			},
		});
		const demand: PlacementDemand = {
			service: 'model', account: undefined, triedUpstreams: new Set(tried === undefined ? [] : [tried]), arrivedAt: 1000, deadlineAt: 3000, signal: new AbortController().signal, request, route: createRoute({kind: 'stream'}),
		};
		const placement = await this.#scheduler.placeDecode(demand, undefined);
		if (!isPlaced(placement)) {
			throw new Error(`The decode was not placed: ${placement.reason}`);
		}

		placement.reportFirstEvent();
		placement.release({kind, elapsedMs: 100, events});
	}
}

describe('the lengths of answers', () => {
	test('are learned from complete answers, and told beside the estimate that the answer was placed with', async () => {
		const fixture = new AnswerFixture();
		await fixture.answer(20);
		expect(fixture.ended).not.toHaveBeenCalled();
		await fixture.answer(40, {hint: 90});
		expect(fixture.ended.mock.calls).toEqual([[true, 40, 20]]);
		await fixture.answer(30);
		expect(fixture.ended.mock.lastCall).toEqual([false, 30, 30]);
	});

	test.each<[string, number, AnswerOptions]>([
		['a broken one', 5, {kind: 'lost'}],
		['a cancelled one', 5, {kind: 'cancelled'}],
		['one without events', 0, {}],
		['the rest of one that another engine began', 5, {tried: 'd-1'}],
		['the rest of one that the caller resumes', 5, {lastEventId: '15'}],
	])('are not learned from %s', async (_, events, options) => {
		const fixture = new AnswerFixture();
		await fixture.answer(20);
		await fixture.answer(events, options);
		await fixture.answer(20);
		expect(fixture.ended.mock.calls).toEqual([[false, 20, 20]]);
	});
});
