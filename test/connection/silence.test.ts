import {describe, expect, it} from 'vitest';
import {
	countSilenceFrom, idleConnectionTimeoutMs, isLost, isLostWithIdle, isOverdue, newConnectionTimeoutMs, type ObservedConnection,
} from '../../src/connection/silence.ts';

const waiting: ObservedConnection = {
	lastByteAt: 0, silentSince: 0, silenceTimeoutMs: 5000, isPresumedSilent: false,
};
const longestPauseMs = 3000;
const detectionLimitMs = 5000;

describe('a silent request', () => {
	// Guards against a pause of the upstream that counts as the silence of a connection.
	it.each([
		{name: 'all of it while no new connection was answered', isAnswered: false, counted: 2500},
		{name: 'less the time that the new connection took', isAnswered: true, counted: 500},
	])('counts its silence $name', ({isAnswered, counted}) => {
		expect(countSilenceFrom(0, {startedAt: 2000, endedAt: 2500, isAnswered})).toBe(counted);
	});

	it('keeps what has begun after the new connection was tried', () => {
		expect(countSilenceFrom(2100, {startedAt: 2000, endedAt: 2500, isAnswered: true})).toBe(2100);
	});

	it('is not given up if a byte has arrived since the new connection was answered', () => {
		expect(isOverdue(waiting, 5000)).toBe(true);
		expect(isLost(waiting, 0, 6000)).toBe(true);
		expect(isLost({...waiting, lastByteAt: 5500, silentSince: 5500}, 0, 6000)).toBe(false);
	});

	it('is given up with an idle connection only if nothing has arrived since that was asked', () => {
		expect(isLostWithIdle({...waiting, isPresumedSilent: true}, 1000)).toBe(true);
		expect(isLostWithIdle({...waiting, isPresumedSilent: true, lastByteAt: 1500}, 1000)).toBe(false);
		expect(isLostWithIdle(waiting, 1000)).toBe(false);
	});
});

describe('the time for an idle connection', () => {
	// Guards against a connection that counts as lost because it was asked during a pause, and the new one after it.
	it('exceeds the longest pause and the time for a new connection, and leaves time for the search', () => {
		expect(idleConnectionTimeoutMs).toBeGreaterThan(Math.max(longestPauseMs, newConnectionTimeoutMs));
		expect(idleConnectionTimeoutMs).toBeLessThan(detectionLimitMs - 1000);
	});
});
