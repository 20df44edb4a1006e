import {Buffer} from 'node:buffer';
import {describe, expect, test} from 'vitest';
import {MessageBuffer} from '../../../src/process/peers/message-buffer.ts';
import {PeerLoadTracker, peerLoadTimeoutMs} from '../../../src/process/peers/peer-load-tracker.ts';
import {decodePeerDatagram, encodePeerDatagrams, type PeerMessage} from '../../../src/process/peers/peer-message.ts';
import {SeededRandom} from '../../../src/process/random.ts';

const message: PeerMessage = {
	daemon: 'a',
	entry: {address: '127.0.0.1:1', availabilityZone: 'zone-a', linkMbps: 10},
	isSnapshot: false,
	loads: [{upstream: 'u-1', runs: 2, tokensByPriority: new Map([[0, 100], [2, 4000]])}],
	prefills: [{upstream: 'u-1', parts: [{id: '5c1e', tokens: 800}]}],
	queued: new Map([[1, 50], [2, 600]]),
	crashes: [{fingerprint: 'f', upstream: 'u-2'}],
};
const idle = {runs: 0, tokensByPriority: new Map<number, number>()};

describe('messages between daemons', () => {
	test('are unchanged after encoding and decoding', () => {
		const datagram = {sender: 'relay', scope: 'zones' as const, messages: [message, {...message, daemon: 'b', crashes: []}]};
		const [text, ...others] = encodePeerDatagrams(datagram, 8000);
		expect(others).toEqual([]);
		expect(decodePeerDatagram(text!).extract()).toEqual(datagram);
	});

	test('are distributed over datagrams within the size limit', () => {
		const random = new SeededRandom(4);
		const drawReading = () => ({upstream: 'u-1', parts: [{id: random.integer(2 ** 30).toString(16), tokens: random.integer(9999)}]});
		const messages = Array.from({length: 60}, (_, index) => ({...message, daemon: `daemon-${index}`, prefills: [drawReading()]}));
		const texts = encodePeerDatagrams({sender: 'relay', scope: 'final', messages}, 600);
		expect(texts.length).toBeGreaterThan(1);
		expect(Math.max(...texts.map(({length}) => length))).toBeLessThanOrEqual(600);
		expect(texts.flatMap(text => decodePeerDatagram(text).unsafeCoerce().messages)).toEqual(messages);
	});

	test('are split into fragments that fit the limit and together have the same effect', () => {
		const loads = Array.from({length: 50}, (_, index) => ({upstream: `i-0be2d92e${index}`, runs: index + 1, tokensByPriority: new Map([[0, 12_345], [1, 23_456], [2, 34_567]])}));
		const parts = ['5c1e07a2', '91bd3f06', 'e4402b7d'].map(id => ({id, tokens: 13_300}));
		const readings = Array.from({length: 40}, (_, index) => ({upstream: `i-0be2d92e${index}`, parts}));
		const texts = encodePeerDatagrams({
			sender: 'relay', scope: 'final', messages: [{
				...message, isSnapshot: true, loads, prefills: readings,
			}],
		}, 1400);
		expect(Math.max(...texts.map(({length}) => length))).toBeLessThanOrEqual(1400);
		const board = new PeerLoadTracker();
		const pieces = texts.flatMap(text => decodePeerDatagram(text).unsafeCoerce().messages);
		for (const piece of pieces) {
			board.apply(piece, 0);
		}

		expect(loads.map(({upstream}) => board.runs(upstream, 0))).toEqual(loads.map(({runs}) => runs));
		expect(pieces.flatMap(piece => piece.prefills)).toEqual(readings);
		expect(pieces.flatMap(piece => piece.crashes)).toEqual(message.crashes);
	});

	test.each(['', '{}', '[]', '{"n":"a","s":"own","m":[{"n":"b","l":[{"u":1}]}]}', '{"n":"a","s":"far","m":[]}', '\u0000'])('that are malformed are rejected: %j', text => {
		expect(decodePeerDatagram(Buffer.from(text)).isLeft()).toBe(true);
	});
});

describe('load that other daemons report', () => {
	test('includes the tokens of a priority and of more urgent ones', () => {
		const board = new PeerLoadTracker();
		board.apply(message, 0);
		board.apply({...message, daemon: 'b'}, 0);
		expect(board.tokensUpTo('u-1', 0, 100)).toBe(200);
		expect(board.tokensUpTo('u-1', 2, 100)).toBe(8200);
		expect(board.queuedTokensUpTo(1, 100)).toBe(100);
		expect(board.runs('u-1', 100)).toBe(4);
	});

	test('replaces the earlier load on the same upstream', () => {
		const board = new PeerLoadTracker();
		board.apply(message, 0);
		board.apply({...message, loads: [{upstream: 'u-1', ...idle}]}, 10);
		expect(board.runs('u-1', 10)).toBe(0);
	});

	test('is corrected by the next snapshot when the message that reported its end was lost', () => {
		const board = new PeerLoadTracker();
		board.apply(message, 0);
		board.apply({...message, isSnapshot: true, loads: [{upstream: 'u-3', runs: 1, tokensByPriority: new Map()}]}, 10);
		expect(board.runs('u-1', 10)).toBe(0);
		expect(board.runs('u-3', 10)).toBe(1);
	});

	test('is ignored once the daemon has been silent for too long', () => {
		const board = new PeerLoadTracker();
		board.apply(message, 0);
		expect(board.runs('u-1', peerLoadTimeoutMs)).toBe(0);
		expect(board.queuedTokensUpTo(2, peerLoadTimeoutMs)).toBe(0);
	});

	test('is ignored until the entry of the daemon is known', () => {
		const board = new PeerLoadTracker();
		expect(board.apply({...message, entry: undefined}, 0)).toBe(false);
		expect(board.runs('u-1', 0)).toBe(0);
		board.apply(message, 10);
		board.apply({...message, entry: undefined, loads: [{upstream: 'u-2', runs: 1, tokensByPriority: new Map()}]}, 20);
		expect(board.runs('u-2', 20)).toBe(1);
	});

	test('is dropped when the daemon restarts at another address', () => {
		const board = new PeerLoadTracker();
		board.apply(message, 0);
		expect(board.apply({...message, entry: {...message.entry!, address: '127.0.0.1:2'}, loads: []}, 10)).toBe(true);
		expect(board.runs('u-1', 10)).toBe(0);
	});
});

describe('messages that a relay buffers', () => {
	test('are merged into one message per daemon with its newest loads and all its prefills and crashes', () => {
		const buffer = new MessageBuffer();
		buffer.add(message);
		buffer.add({...message, daemon: 'b'});
		buffer.add({...message, loads: [{upstream: 'u-1', ...idle}, {upstream: 'u-2', runs: 1, tokensByPriority: new Map()}], queued: new Map()});
		const [first, second] = buffer.takeAll();
		expect(second!.daemon).toBe('b');
		expect(first).toMatchObject({isSnapshot: false, queued: new Map()});
		expect(first!.loads.map(({upstream, runs}) => [upstream, runs])).toEqual([['u-1', 0], ['u-2', 1]]);
		expect(first!.prefills).toHaveLength(2);
		expect(first!.crashes).toHaveLength(2);
		expect(buffer.size).toBe(0);
	});

	test('stay a snapshot when changes are merged into a snapshot', () => {
		const buffer = new MessageBuffer();
		buffer.add({...message, isSnapshot: true});
		buffer.add({...message, loads: [{upstream: 'u-2', runs: 1, tokensByPriority: new Map()}]});
		expect(buffer.takeAll()[0]).toMatchObject({isSnapshot: true, loads: [{upstream: 'u-1'}, {upstream: 'u-2'}]});
	});
});
