import {describe, expect, test} from 'vitest';
import {
	chooseDispensable, chooseUnread, limitConnections, limitOpenRequests, type ConnectionView,
} from '../../src/connection/connection-limits.ts';

const now = 10_000;

function createView(name: string, values: Partial<ConnectionView>): ConnectionView & {readonly name: string} {
	return {
		name, servedCount: 0, isIdle: false, progressAt: now, unsentBytes: 0, ...values,
	};
}

describe('a connection is closed for another one', () => {
	test.each([
		{
			case: 'the one that has stalled longest',
			views: [createView('stalled', {progressAt: 9000}), createView('longer', {progressAt: 8000}), createView('idle', {isIdle: true, progressAt: 0})],
			chosen: 'longer',
		},
		{
			case: 'the one that has been idle longest if none has stalled',
			views: [createView('idle', {isIdle: true, progressAt: 7000}), createView('longer', {isIdle: true, progressAt: 6000}), createView('busy', {progressAt: 9900})],
			chosen: 'longer',
		},
		{
			case: 'none whose request is being served',
			views: [createView('served', {servedCount: 1, progressAt: 0})],
			chosen: undefined,
		},
		{
			case: 'none that was idle for a moment, which an ordinary caller uses again',
			views: [createView('idle', {isIdle: true, progressAt: 9000})],
			chosen: undefined,
		},
	])('$case', ({views, chosen}) => {
		expect(chooseDispensable(views, now)?.name).toBe(chosen);
	});
});

describe('connections whose answers are not taken', () => {
	const views = [createView('slow', {unsentBytes: 50}), createView('deaf', {unsentBytes: 30, progressAt: 0}), createView('deaf and large', {unsentBytes: 40, progressAt: 0})];

	test('stay open while the answers fit', () => {
		expect(chooseUnread(views, now, 120)).toEqual([]);
	});

	test('stay open while they take some of answers that are not far over the limit', () => {
		const slow = [createView('slow', {unsentBytes: 50}), createView('slower', {unsentBytes: 60})];
		expect(chooseUnread(slow, now, 60)).toEqual([]);
		expect(chooseUnread(slow, now, 50).map(({name}) => name)).toEqual(['slower']);
	});

	test('are closed until the answers fit, those that take nothing first', () => {
		expect(chooseUnread(views, now, 60).map(({name}) => name)).toEqual(['deaf and large', 'deaf']);
	});
});

test('connections and requests together stay below the descriptors of a host', () => {
	const descriptors = 2212;
	expect(limitConnections(undefined, descriptors) + limitOpenRequests(descriptors)).toBeLessThan(descriptors - 200);
	expect(limitConnections(undefined, undefined)).toBe(8192);
	expect(limitConnections(210 * 1024 * 1024, undefined)).toBe(2688);
});
