import {Buffer} from 'node:buffer';
import {describe, expect, test} from 'vitest';
import {CrashDetector} from '../../../src/process/fleet/crash-detector.ts';
import {DecisionLog} from '../../../src/process/fleet/decision-log.ts';
import type {PeerCrash} from '../../../src/process/peers/peer-message.ts';
import {createRequest} from '../../fixtures/fleet/configuration.ts';

const silentLog = new DecisionLog({}, (_bytes, done) => {
	done(undefined);
});

function createDaemons(count: number, clock: {now: number}): readonly CrashDetector[] {
	const daemons: CrashDetector[] = [];
	for (let index = 0; index < count; index += 1) {
		const announce = (crash: PeerCrash) => {
			for (const other of daemons.filter((_, position) => position !== index)) {
				other.accept([crash]);
			}
		};

		const announceCleared = (fingerprint: string) => {
			for (const other of daemons.filter((_, position) => position !== index)) {
				other.acceptCleared([fingerprint]);
			}
		};

		daemons.push(new CrashDetector({
			now: () => clock.now, log: silentLog, announce, announceCleared,
		}));
	}

	return daemons;
}

const crashingRequest = createRequest({body: Buffer.from('poison')});

describe('crash detector', () => {
	test('condemns a request at all daemons after the third crash, under any id', () => {
		const clock = {now: 0};
		const daemons = createDaemons(3, clock);
		for (const [index, daemon] of daemons.entries()) {
			expect(daemon.findCondemned(crashingRequest)).toBeUndefined();
			daemon.connectionLost(crashingRequest, `u-${index}`);
			clock.now += 500;
			daemon.upstreamDown(`u-${index}`, 'connectionRefused');
		}

		for (const daemon of daemons) {
			expect(daemon.findCondemned({...crashingRequest, id: 'another'})).toBeDefined();
		}
	});

	test('recognises a crashing request that comes back from another address', () => {
		const clock = {now: 0};
		const daemons = createDaemons(3, clock);
		for (const [index, daemon] of daemons.entries()) {
			daemon.connectionLost({...crashingRequest, callerAddress: `10.0.${index}.7`}, `u-${index}`);
			daemon.upstreamDown(`u-${index}`, 'connectionRefused');
		}

		for (const daemon of daemons) {
			expect(daemon.findCondemned({...crashingRequest, callerAddress: '10.9.9.9'})).toBeDefined();
		}
	});

	test('does not condemn a request that lost its connection once together with a crashing request', () => {
		const clock = {now: 0};
		const [daemon] = createDaemons(1, clock);
		for (const index of [0, 1, 2]) {
			const innocent = createRequest({body: Buffer.from(`innocent ${index}`)});
			daemon!.connectionLost(crashingRequest, `u-${index}`);
			daemon!.connectionLost(innocent, `u-${index}`);
			daemon!.upstreamDown(`u-${index}`, 'connectionRefused');
			expect(daemon!.findCondemned(innocent)).toBeUndefined();
		}

		expect(daemon!.findCondemned(crashingRequest)).toBeDefined();
		for (const other of [{body: Buffer.from('poison2')}, {method: 'GET'}, {target: '/x/2'}, {target: '/x/1?page=2'}, {host: 'b.example'}]) {
			expect(daemon!.findCondemned({...crashingRequest, ...other})).toBeUndefined();
		}
	});

	test('no longer suspects a request at any daemon once one of its repetitions has completed', () => {
		const clock = {now: 0};
		const daemons = createDaemons(3, clock);
		const crash = (upstream: string) => {
			daemons[0]!.connectionLost(crashingRequest, upstream);
			daemons[0]!.upstreamDown(upstream, 'gone');
		};

		crash('u-1');
		crash('u-2');
		daemons[1]!.completed({...crashingRequest, id: 'another', callerAddress: '10.0.0.7'});
		crash('u-3');
		for (const daemon of daemons) {
			expect(daemon.findCondemned(crashingRequest)).toBeUndefined();
		}
	});

	test('recognises a crashing request under another spelling of its host', () => {
		const clock = {now: 0};
		const [daemon] = createDaemons(1, clock);
		for (const [index, host] of ['a.example', 'A.example', 'a.example:80'].entries()) {
			daemon!.connectionLost({...crashingRequest, host}, `u-${index}`);
			daemon!.upstreamDown(`u-${index}`, 'connectionRefused');
		}

		expect(daemon!.findCondemned(crashingRequest)).toBeDefined();
	});

	test('does not condemn a request if the upstreams stayed up for long after its connections were lost', () => {
		const clock = {now: 0};
		const [daemon] = createDaemons(1, clock);
		for (const index of [0, 1, 2, 3, 4]) {
			daemon!.connectionLost(crashingRequest, `u-${index}`);
			clock.now += 7000;
			daemon!.upstreamDown(`u-${index}`, 'connectionRefused');
		}

		expect(daemon!.findCondemned(crashingRequest)).toBeUndefined();
	});

	test('no longer condemns a request one minute after its last crash', () => {
		const clock = {now: 0};
		const [daemon] = createDaemons(1, clock);
		daemon!.accept([0, 1, 2].map(index => ({fingerprint: 'x', upstream: `u-${index}`})));
		for (const index of [0, 1, 2]) {
			daemon!.connectionLost(crashingRequest, `u-${index}`);
			daemon!.upstreamDown(`u-${index}`, 'connectionRefused');
		}

		expect(daemon!.findCondemned(crashingRequest)).toBeDefined();
		clock.now += 61_000;
		expect(daemon!.findCondemned(crashingRequest)).toBeUndefined();
	});
});
