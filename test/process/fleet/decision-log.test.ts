import {Buffer} from 'node:buffer';
import {describe, expect, test} from 'vitest';
import {DecisionLog, type LogSink} from '../../../src/process/fleet/decision-log.ts';

type Line = Readonly<Record<string, unknown>>;

function createSink(): {readonly sink: LogSink; readonly lines: Line[]; readonly release: () => void} {
	const lines: Line[] = [];
	let release = () => undefined as void;
	return {
		lines,
		sink(bytes, done) {
			lines.push(...Buffer.from(bytes).toString('utf8').trimEnd().split('\n').map(text => JSON.parse(text) as Line));
			release = () => {
				done(undefined);
			};
		},
		release() {
			release();
		},
	};
}

describe('decision log', () => {
	test('writes one JSON line for each decision', async () => {
		const {sink, lines, release} = createSink();
		const log = new DecisionLog({daemon: 'd'}, sink);
		log.write('request.ended', {request: 'r-1', outcome: 'delivered'});
		await log.flush(10);
		release();
		expect(lines).toMatchObject([{
			event: 'request.ended', daemon: 'd', request: 'r-1', outcome: 'delivered',
		}]);
	});

	test('drops and counts lines without blocking while the sink is stalled', async () => {
		const {sink, lines, release} = createSink();
		const log = new DecisionLog({}, sink, {pendingBytes: 1000, routineLinesPerSecond: 1000});
		log.write('first');
		await log.flush(10);
		for (let count = 0; count < 100; count += 1) {
			log.write('request.ended', {request: `r-${count}`});
		}

		expect(log.droppedLines).toBeGreaterThan(50);
		release();
		await log.flush(10);
		release();
		expect(lines.find(({event}) => event === 'log.leftOut')).toMatchObject({lines: log.droppedLines});
	});

	test('drops routine lines before lines about failures', async () => {
		const {sink, lines, release} = createSink();
		const log = new DecisionLog({}, sink, {pendingBytes: 100_000, routineLinesPerSecond: 10});
		for (let count = 0; count < 50; count += 1) {
			log.write('sent', {request: `r-${count}`});
			log.write('request.refused', {request: `r-${count}`});
		}

		await log.flush(10);
		release();
		expect(lines.filter(({event}) => event === 'request.refused')).toHaveLength(50);
		expect(lines.filter(({event}) => event === 'sent')).toHaveLength(10);
	});
});
