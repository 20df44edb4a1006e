import {describe, expect, it} from 'vitest';
import {EngineModel} from '../../../src/stand-ins/engine/engine-model.ts';
import type {EngineWork} from '../../../src/stand-ins/engine/engine-work.ts';

const short: EngineWork = {
	id: 'short', promptTokens: 100, outputTokens: 10, priority: 0,
};

describe('the engine model', () => {
	// Guards against steps that are skipped or repeated when virtual time advances in small or large increments.
	it.each([1, 7, 1000])('finishes a request at the same time when time advances by %i ms', incrementMs => {
		const engine = new EngineModel();
		engine.submit(0, short);
		const finished = [];
		for (let at = 0; at < 1000; at += incrementMs) {
			finished.push(...engine.advance(Math.min(at + incrementMs, 1000)).filter(({kind}) => kind === 'finished'));
		}

		expect(finished).toHaveLength(1);
		expect(finished[0]!.at).toBeCloseTo(12 + 4 + (9 * 12.25));
	});

	// Guards against a prefix cache that does not shorten the prefill.
	it('skips the cached prefix of a second prompt', () => {
		const engine = new EngineModel();
		const work = {...short, prefix: 'artwork', prefixTokens: 90};
		engine.submit(0, work);
		engine.advance(1000);
		engine.submit(1000, {...work, id: 'second'});
		const first = engine.advance(2000).find(({kind}) => kind === 'first-token');
		expect(first).toMatchObject({id: 'second', cachedTokens: 90});
	});

	// Guards against live work that waits for patient work to finish when the engine is full.
	it('preempts patient work for live work and resumes it', () => {
		const engine = new EngineModel({maxSequences: 1});
		engine.submit(0, {
			...short, id: 'patient', priority: 1, outputTokens: 100,
		});
		engine.submit(100, short);
		const events = engine.advance(10_000).filter(({kind}) => kind === 'preempted' || kind === 'finished');
		expect(events.map(event => [event.kind, 'id' in event && event.id])).toEqual([
			['preempted', 'patient'], ['finished', 'short'], ['finished', 'patient'],
		]);
	});

	// Guards against a role change that interrupts requests or accepts new ones before it has ended.
	it('drains before a role change and accepts no work until it has ended', () => {
		const engine = new EngineModel({roleChangeMs: 5000});
		engine.submit(0, short);
		engine.changeRole(1, 'prefill');
		expect(engine.submit(2, {...short, id: 'refused'})).toBe(false);
		const events = engine.advance(10_000);
		expect(events.map(({kind}) => kind)).toEqual(['first-token', 'finished', 'role-changed']);
		expect(events[2]!.at - events[1]!.at).toBe(5000);
		expect(engine.submit(10_000, {...short, id: 'taken'})).toBe(true);
	});

	// Guards against a cancelled request that keeps its KV memory, and against a slowdown without effect.
	it('frees KV memory on cancel and lengthens steps under a slowdown', () => {
		const engine = new EngineModel();
		engine.submit(0, {...short, promptTokens: 5000});
		expect(engine.cancel(50, 'short')).toBe(0);
		expect(engine.load).toMatchObject({running: 0, waiting: 0, kvPiecesUsed: 0});
		engine.setSlowdown(60, 10);
		engine.submit(100, short);
		expect(engine.advance(10_000).at(-1)!.at).toBeGreaterThan(1300);
	});
});
