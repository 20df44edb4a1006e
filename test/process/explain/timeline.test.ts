import {describe, expect, test} from 'vitest';
import {formatTimeline, parseLog, selectTimeline} from '../../../src/process/explain/timeline.ts';

const log = [
	'edge-1 {"time":1000,"event":"upstream.leaving","daemon":"a","upstream":"u-1"}',
	'edge-1 {"time":1500,"event":"upstream.leaving","daemon":"a","upstream":"u-2"}',
	'edge-2 {"time":1600,"event":"store.lost","daemon":"b","table":"op"}',
	'{"time":2000,"event":"request.received","daemon":"a","request":"r-1","route":"book"}',
	'{"time":2005,"event":"send","daemon":"a","request":"r-1","upstream":"u-1"}',
	'{"time":2006,"event":"send","daemon":"a","request":"r-2","upstream":"u-2"}',
	'not a line of the log',
	'{"time":2050,"event":"request.ended","daemon":"a","request":"r-1","outcome":"failed"}',
	'{"time":3000,"event":"upstream.gone","daemon":"a","upstream":"u-1"}',
	'{"time":4000,"event":"send","da',
].join('\n');

describe('timeline of a request', () => {
	test('contains the lines of the request and the context events of its daemon and its upstreams, in order', () => {
		const timeline = selectTimeline(parseLog(log), 'r-1');
		expect(timeline.map(({event}) => event)).toEqual(['upstream.leaving', 'request.received', 'send', 'request.ended']);
	});

	test('shows a restore of the store, and what its daemon learned from others when it started', () => {
		const context = ['store.restored', 'start.inherited'].map(event => `{"time":1800,"event":"${event}","daemon":"a"}`);
		const timeline = selectTimeline(parseLog([...context, log].join('\n')), 'r-1');
		expect(timeline.map(({event}) => event)).toEqual(['upstream.leaving', 'store.restored', 'start.inherited', 'request.received', 'send', 'request.ended']);
	});

	test('is empty for a request without log lines', () => {
		expect(selectTimeline(parseLog(log), 'r-9')).toEqual([]);
	});

	test('is formatted with times relative to the arrival of the request', () => {
		const text = formatTimeline(selectTimeline(parseLog(log), 'r-1'), 'r-1');
		expect(text.split('\n')).toHaveLength(4);
		expect(text).toContain('-1000 ms  a  (upstream.leaving)  upstream=u-1');
		expect(text).toContain('+50 ms  a  request.ended  outcome=failed');
	});
});

test('a closed connection explains each request that was not answered on it', () => {
	const closed = '{"time":2040,"event":"connection.closed","daemon":"a","reason":"brokenOff","requests":["r-7","r-1"]}';
	const text = formatTimeline(selectTimeline(parseLog(`${log}\n${closed}`), 'r-1'), 'r-1');
	expect(text).toContain('+40 ms  a  connection.closed  reason=brokenOff');
	expect(selectTimeline(parseLog(closed), 'r-7')).toHaveLength(1);
});
