import {describe, expect, test} from 'vitest';
import {PeerBoard, peerSilenceMs} from '../../../src/process/peers/peer-board.ts';
import {decodePeerMessage, encodePeerMessage, type PeerMessage} from '../../../src/process/peers/peer-message.ts';

const message: PeerMessage = {
	daemon: 'a',
	address: '127.0.0.1:1',
	loads: [{upstream: 'u-1', runs: 2, tokensByPriority: new Map([[0, 100], [2, 4000]])}],
	readings: [{upstream: 'u-1', parts: [{id: '5c1e', tokens: 800}]}],
	queued: new Map([[1, 50], [2, 600]]),
	crashes: [{fingerprint: 'f', upstream: 'u-2'}],
};

describe('messages between daemons', () => {
	test('are the same after encoding and decoding', () => {
		expect(decodePeerMessage(encodePeerMessage(message)).extract()).toEqual(message);
	});

	test.each(['', '{}', '[]', '{"n":"a","a":"b","l":[{"u":1}],"p":[],"q":[]}', '\u0000'])('that are malformed are rejected: %j', text => {
		expect(decodePeerMessage(text).isLeft()).toBe(true);
	});
});

describe('load that other daemons tell', () => {
	test('counts the tokens of a priority and of the more urgent ones', () => {
		const board = new PeerBoard();
		board.accept(message, 0);
		board.accept({...message, daemon: 'b'}, 0);
		expect(board.tokensUpTo('u-1', 0, 100)).toBe(200);
		expect(board.tokensUpTo('u-1', 2, 100)).toBe(8200);
		expect(board.queuedUpTo(1, 100)).toBe(100);
		expect(board.runs('u-1', 100)).toBe(4);
	});

	test('replaces what was told before, so that a lost message does no lasting harm', () => {
		const board = new PeerBoard();
		board.accept(message, 0);
		board.accept({...message, loads: [{upstream: 'u-1', runs: 0, tokensByPriority: new Map()}]}, 10);
		expect(board.runs('u-1', 10)).toBe(0);
	});

	test('does not count once a daemon has fallen silent', () => {
		const board = new PeerBoard();
		board.accept(message, 0);
		expect(board.runs('u-1', peerSilenceMs)).toBe(0);
		expect(board.queuedUpTo(2, peerSilenceMs)).toBe(0);
		expect(board.live(peerSilenceMs)).toEqual([]);
	});

	test('does not outlive a daemon that comes back at another address', () => {
		const board = new PeerBoard();
		board.accept(message, 0);
		expect(board.accept({...message, address: '127.0.0.1:2', loads: []}, 10)).toBe(true);
		expect(board.runs('u-1', 10)).toBe(0);
	});
});
