import {setTimeout as delay} from 'node:timers/promises';
import {
	describe, expect, it, vi,
} from 'vitest';
import {request} from 'undici';
import {demoKey, demoModels} from '../../src/demo/local-deployment.ts';
import {conditionOf, readStatus} from '../fixtures/peer-status.ts';
import {SpawnedDeployment} from '../fixtures/spawned-deployment.ts';

/** Members are declared dead after 6 s; the rest allows for the variation in detection time and a busy machine. */
const deathTimeoutMs = 12_000;
const returnTimeoutMs = 6000;

describe('a daemon process that is paused for longer than the failure timeout', () => {
	it('is dead for its peers, is alive again after it resumes, and does not consider its peers dead', async () => {
		await using deployment = await SpawnedDeployment.create(['a1', 'a2'], 0);
		const paused = deployment.daemons.get('a1')!;
		const peer = deployment.daemons.get('a2')!;
		await vi.waitFor(async () => {
			expect(await conditionOf(peer.peerAddress!, 'a1')).toBe('alive');
			expect(await conditionOf(paused.peerAddress!, 'a2')).toBe('alive');
		}, {timeout: returnTimeoutMs, interval: 50});
		const {daemon: {incarnation}} = await readStatus(paused.peerAddress!);
		const inFlight = complete(paused.url, 200);
		await delay(200);

		paused.child.kill('SIGSTOP');
		await vi.waitFor(async () => {
			expect(await conditionOf(peer.peerAddress!, 'a1')).toBe('dead');
		}, {timeout: deathTimeoutMs, interval: 100});
		paused.child.kill('SIGCONT');

		expect(await conditionOf(paused.peerAddress!, 'a2'), 'right after the pause').not.toBe('dead');
		await vi.waitFor(async () => {
			expect(await conditionOf(peer.peerAddress!, 'a1')).toBe('alive');
			expect(await conditionOf(paused.peerAddress!, 'a2')).toBe('alive');
		}, {timeout: returnTimeoutMs, interval: 50});
		expect(await inFlight, 'in-flight stream').toBe(true);
		const status = await readStatus(paused.peerAddress!);
		expect(status.daemon.incarnation).toBe(incarnation);
	});
});

async function complete(url: string, tokens: number): Promise<boolean> {
	const response = await request(`${url}/v1/chat/completions`, {
		method: 'POST',
		headers: {authorization: `Bearer ${demoKey}`},
		body: JSON.stringify({
			model: demoModels[0], stream: true, max_tokens: tokens, messages: [{role: 'user', content: 'check'}],
		}),
	});
	const text = await response.body.text();
	return text.endsWith('data: [DONE]\n\n');
}
