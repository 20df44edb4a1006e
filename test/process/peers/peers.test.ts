import {Buffer} from 'node:buffer';
import {describe, expect, test} from 'vitest';
import {MessageBuffer} from '../../../src/process/peers/message-buffer.ts';
import {PeerLoadTracker, peerLoadTimeoutMs} from '../../../src/process/peers/peer-load-tracker.ts';
import {decodePeerDatagram, encodePeerDatagrams, type PeerMessage} from '../../../src/process/peers/peer-message.ts';
import {SeededRandom} from '../../../src/process/random.ts';
import {identify} from '../../fixtures/request-identity.ts';

const message: PeerMessage = {
	daemon: 'a',
	entry: {address: '127.0.0.1:1', availabilityZone: 'zone-a', linkMbps: 10},
	isSnapshot: false,
	loads: [{upstream: 'u-1', runs: 2, tokensByPriority: new Map([[0, 100], [2, 4000]])}],
	prefills: [{upstream: 'u-1', parts: [{id: '5c1e', tokens: 800}]}],
	queued: new Map([[1, 50], [2, 600]]),
	excessQueued: new Map([[2, 400]]),
	usage: [{
		service: 'model', account: 'north', asked: 900, placed: 300,
	}],
	crashNews: [
		{
			kind: 'suspected' as const, ...identify('f', 'part-1', 'part-2'), upstream: 'u-2', ageMs: 40,
		},
		{kind: 'condemned' as const, fingerprint: 'g', refusedForMs: 600_000},
		{kind: 'cleared' as const, fingerprint: 'h'},
		{
			kind: 'partsCondemned' as const, promptParts: ['part-1', 'part-2'], refusedForMs: 600_000, firstCrashAgeMs: 4000,
		},
		{kind: 'partsCleared' as const, promptParts: ['part-1']},
	],
	limits: [
		{
			upstream: 'u-1', requestsPerSecond: 9.6, ageMs: 40, use: {sent: 12, askedPerSecond: 20.25},
		},
		{
			upstream: 'u-2', requestsPerSecond: undefined, ageMs: 2000, use: {sent: 0, askedPerSecond: 0},
		},
	],
	leaving: [{id: 'u-3', startedAt: 1000}, {id: 'u-4', startedAt: undefined}],
	tables: [
		{
			table: 'servers', position: {epoch: 3, version: 530}, digest: 2 ** 47, ageMs: 120,
		},
		{
			table: 'op', position: {epoch: undefined, version: 530}, digest: 5, ageMs: 120,
		},
	],
	work: [{service: 'model', arrivedMs: 12_000, refusedMs: 400}],
};
const idle = {runs: 0, tokensByPriority: new Map<number, number>()};

describe('messages between daemons', () => {
	test('are unchanged after encoding and decoding', () => {
		const datagram = {
			sender: 'relay', scope: 'zones' as const, messages: [message, {
				...message, daemon: 'b', crashNews: [],
			}],
		};
		const [text, ...others] = encodePeerDatagrams(datagram, 8000);
		expect(others).toEqual([]);
		expect(decodePeerDatagram(text!).extract()).toEqual(datagram);
	});

	test.each([
		{address: '127.0.0.1:99999', linkMbps: 100},
		{address: 'host', linkMbps: 100},
		{address: '127.0.0.1:80', linkMbps: -1},
		{address: '127.0.0.1:80', linkMbps: 0},
	])('are applied without the entry of their daemon if it cannot be used: %j', values => {
		const [text] = encodePeerDatagrams({sender: 'a', scope: 'direct', messages: [{...message, entry: {availabilityZone: 'zone-a', ...values}}]}, 8000);
		expect(decodePeerDatagram(text!).extract()).toEqual({sender: 'a', scope: 'direct', messages: [{...message, entry: undefined}]});
	});

	test.each(['{"l":[{"u":"u-1","r":1e999,"t":[]}]}', '{"d":[["servers",1e999,1,1]]}', '{"v":[["u-1",-1e999]]}'])('with numbers that are not finite are rejected: %s', fields => {
		const text = JSON.stringify({n: 'a', s: 'direct', m: ['?']}).replace('"?"', fields.replace('{', '{"n":"a",'));
		expect(decodePeerDatagram(Buffer.from(text)).isLeft()).toBe(true);
	});

	test('are distributed over datagrams within the size limit', () => {
		const random = new SeededRandom(4);
		const drawPrefill = () => ({upstream: 'u-1', parts: [{id: random.integer(2 ** 30).toString(16), tokens: random.integer(9999)}]});
		const messages = Array.from({length: 60}, (_, index) => ({...message, daemon: `daemon-${index}`, prefills: [drawPrefill()]}));
		const datagrams = encodePeerDatagrams({sender: 'relay', scope: 'final', messages}, 600);
		expect(datagrams.length).toBeGreaterThan(1);
		expect(Math.max(...datagrams.map(({length}) => length))).toBeLessThanOrEqual(600);
		expect(datagrams.flatMap(text => decodePeerDatagram(text).unsafeCoerce().messages)).toEqual(messages);
	});

	test('are split into fragments that fit the limit and together have the same effect', () => {
		const loads = Array.from({length: 50}, (_, index) => ({upstream: `i-0be2d92e${index}`, runs: index + 1, tokensByPriority: new Map([[0, 12_345], [1, 23_456], [2, 34_567]])}));
		const parts = ['5c1e07a2', '91bd3f06', 'e4402b7d'].map(id => ({id, tokens: 13_300}));
		const prefills = Array.from({length: 40}, (_, index) => ({upstream: `i-0be2d92e${index}`, parts}));
		const datagrams = encodePeerDatagrams({
			sender: 'relay', scope: 'final', messages: [{
				...message, isSnapshot: true, loads, prefills,
			}],
		}, 1400);
		expect(Math.max(...datagrams.map(({length}) => length))).toBeLessThanOrEqual(1400);
		const tracker = new PeerLoadTracker();
		const fragments = datagrams.flatMap(text => decodePeerDatagram(text).unsafeCoerce().messages);
		for (const fragment of fragments) {
			tracker.apply(fragment, 0);
		}

		expect(loads.map(({upstream}) => tracker.runs(upstream, 0))).toEqual(loads.map(({runs}) => runs));
		expect(fragments.flatMap(fragment => fragment.prefills)).toEqual(prefills);
		expect(fragments.flatMap(fragment => fragment.crashNews)).toEqual(message.crashNews);
	});

	test.each(['', '{}', '[]', '{"n":"a","s":"own","m":[{"n":"b","l":[{"u":1}]}]}', '{"n":"a","s":"far","m":[]}', '\u0000'])('that are malformed are rejected: %j', text => {
		expect(decodePeerDatagram(Buffer.from(text)).isLeft()).toBe(true);
	});
});

describe('load that other daemons report', () => {
	test('includes the tokens of a priority and of more urgent ones', () => {
		const tracker = new PeerLoadTracker();
		tracker.apply(message, 0);
		tracker.apply({...message, daemon: 'b'}, 0);
		expect(tracker.tokensUpTo('u-1', 0, 100)).toBe(200);
		expect(tracker.tokensUpTo('u-1', 2, 100)).toBe(8200);
		expect(tracker.queuedTokensUpTo(1, 100)).toBe(100);
		expect(tracker.runs('u-1', 100)).toBe(4);
	});

	test('replaces the earlier load on the same upstream', () => {
		const tracker = new PeerLoadTracker();
		tracker.apply(message, 0);
		tracker.apply({...message, loads: [{upstream: 'u-1', ...idle}]}, 10);
		expect(tracker.runs('u-1', 10)).toBe(0);
	});

	test('is corrected by the next snapshot when the message that reported its end was lost', () => {
		const tracker = new PeerLoadTracker();
		tracker.apply(message, 0);
		tracker.apply({...message, isSnapshot: true, loads: [{upstream: 'u-3', runs: 1, tokensByPriority: new Map()}]}, 10);
		expect(tracker.runs('u-1', 10)).toBe(0);
		expect(tracker.runs('u-3', 10)).toBe(1);
	});

	test('is ignored once the daemon has been silent for too long', () => {
		const tracker = new PeerLoadTracker();
		tracker.apply(message, 0);
		expect(tracker.runs('u-1', peerLoadTimeoutMs)).toBe(0);
		expect(tracker.queuedTokensUpTo(2, peerLoadTimeoutMs)).toBe(0);
	});

	test('is ignored until the entry of the daemon is known', () => {
		const tracker = new PeerLoadTracker();
		expect(tracker.apply({...message, entry: undefined}, 0)).toBe(false);
		expect(tracker.runs('u-1', 0)).toBe(0);
		tracker.apply(message, 10);
		tracker.apply({...message, entry: undefined, loads: [{upstream: 'u-2', runs: 1, tokensByPriority: new Map()}]}, 20);
		expect(tracker.runs('u-2', 20)).toBe(1);
	});

	test('is dropped when the daemon restarts at another address', () => {
		const tracker = new PeerLoadTracker();
		tracker.apply(message, 0);
		expect(tracker.apply({...message, entry: {...message.entry!, address: '127.0.0.1:2'}, loads: []}, 10)).toBe(true);
		expect(tracker.runs('u-1', 10)).toBe(0);
	});
});

describe('messages that a relay buffers', () => {
	test('are merged into one message per daemon with its newest loads and all its prefills and crashes', () => {
		const buffer = new MessageBuffer();
		buffer.add(message, 0);
		buffer.add({...message, daemon: 'b'}, 0);
		buffer.add({...message, loads: [{upstream: 'u-1', ...idle}, {upstream: 'u-2', runs: 1, tokensByPriority: new Map()}], queued: new Map()}, 0);
		const [first, second] = buffer.takeAll(0);
		expect(second!.daemon).toBe('b');
		expect(first).toMatchObject({isSnapshot: false, queued: new Map()});
		expect(first!.loads.map(({upstream, runs}) => [upstream, runs])).toEqual([['u-1', 0], ['u-2', 1]]);
		expect(first!.prefills).toHaveLength(2);
		expect(first!.crashNews).toHaveLength(2 * message.crashNews.length);
		expect(buffer.size).toBe(0);
	});

	test('stay a snapshot when changes are merged into a snapshot', () => {
		const buffer = new MessageBuffer();
		buffer.add({...message, isSnapshot: true}, 0);
		buffer.add({...message, loads: [{upstream: 'u-2', runs: 1, tokensByPriority: new Map()}]}, 0);
		expect(buffer.takeAll(0)[0]).toMatchObject({isSnapshot: true, loads: [{upstream: 'u-1'}, {upstream: 'u-2'}]});
	});

	test('keep the arrived work when a change without it follows', () => {
		const buffer = new MessageBuffer();
		buffer.add(message, 0);
		buffer.add({...message, work: []}, 0);
		expect(buffer.takeAll(0)[0]!.work).toEqual(message.work);
	});

	// Guards against a daemon that relies for too long on a confirmation which waited in busy relays.
	test('have tables that age while they wait, also when a change without tables follows', () => {
		const buffer = new MessageBuffer();
		const tables = [{
			table: 'servers', position: {epoch: 1, version: 5}, digest: 50, ageMs: 20,
		}];
		buffer.add({...message, tables}, 1000);
		buffer.add({...message, tables: []}, 1100);
		buffer.add({...message, daemon: 'b', tables}, 1100);
		expect(buffer.takeAll(1150).map(({tables: [table]}) => table!.ageMs)).toEqual([170, 70]);
	});

	// Guards against daemons whose turns of contested requests overlap, because they believe that the crash was later than it was.
	test('have crashes that age while they wait', () => {
		const buffer = new MessageBuffer();
		const news = {
			kind: 'suspected', fingerprint: 'f', promptParts: [], upstream: 'u-1', ageMs: 20,
		} as const;
		buffer.add({...message, crashNews: [news]}, 1000);
		buffer.add({...message, crashNews: [news, {kind: 'cleared', fingerprint: 'g'}]}, 1100);
		expect(buffer.takeAll(1150)[0]!.crashNews).toEqual([{...news, ageMs: 170}, {...news, ageMs: 70}, {kind: 'cleared', fingerprint: 'g'}]);
	});
});
