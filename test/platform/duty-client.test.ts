import {describe, expect, test} from 'vitest';
import {HttpPlatformDuties} from '../../platform/duty-client.ts';
import type {DutyResult} from '../../src/ports/platform-duties.ts';
import {chooseFreePorts} from '../fixtures/free-ports.ts';
import {DutyServer} from '../fixtures/fleet/duty-server.ts';

const report = {window: 353_445_120, counts: new Map([['north', 412], ['south', 3]])};
const authority = {holder: 'daemon-1', fencing: 12};
const mayStart = () => true;

describe('calls of duties', () => {
	test('carry the holder, its fencing number and the fields of the platform', async () => {
		await using server = new DutyServer();
		await server.start();
		await using duties = new HttpPlatformDuties(server.address);
		expect(await duties.reportUsage(report, authority, mayStart)).toBe('accepted');
		const order = {service: 'desk', availabilityZone: 'zone-a', count: 6};
		expect(await duties.orderPool({...order, isReclaimable: false}, authority, mayStart)).toBe('accepted');
		expect(await duties.orderPool({...order, isReclaimable: true}, authority, mayStart)).toBe('accepted');
		expect(server.received).toMatchObject([
			{
				path: '/usage', holder: 'daemon-1', fencing: 12, body: {window_id: 353_445_120, counts: {north: 412, south: 3}},
			},
			{path: '/scale', fencing: 12, body: {service: 'desk', zone: 'zone-a', desired_count: 6}},
			{path: '/scale', body: {use_spot: true}},
		]);
		expect(server.received[1]!.body).not.toHaveProperty('use_spot');
	});

	test.for<readonly [number, DutyResult]>([
		[200, 'accepted'], [204, 'accepted'], [400, 'rejected'], [403, 'rejected'], [409, 'exhausted'], [429, 'throttled'], [500, 'unknown'], [503, 'unknown'],
	])('status %i is %s', async ([status, result]) => {
		await using server = new DutyServer();
		await server.start();
		server.faults.status = status;
		await using duties = new HttpPlatformDuties(server.address);
		expect(await duties.reportUsage(report, authority, mayStart)).toBe(result);
	});

	test('are not written when the authority ends while the connection opens', async () => {
		await using server = new DutyServer();
		await server.start();
		await using duties = new HttpPlatformDuties(server.address);
		let checks = 0;
		const result = await duties.reportUsage(report, authority, () => {
			checks += 1;
			return false;
		});
		expect(result).toBe('throttled');
		expect(checks).toBe(1);
		expect(server.received).toEqual([]);
	});

	test('have an unknown outcome when the answer is lost or late, and none when nothing listens', async () => {
		await using server = new DutyServer();
		await server.start();
		await using duties = new HttpPlatformDuties(server.address);
		server.faults.losesAnswers = true;
		expect(await duties.reportUsage(report, authority, mayStart)).toBe('unknown');
		server.faults.losesAnswers = false;
		server.faults.isSilent = true;
		const startedAt = performance.now();
		expect(await duties.reportUsage(report, authority, mayStart)).toBe('unknown');
		expect(performance.now() - startedAt).toBeGreaterThan(900);
		server.faults.isSilent = false;
		expect(await duties.reportUsage(report, authority, mayStart)).toBe('accepted');
		const [port] = await chooseFreePorts(1);
		await using unreachable = new HttpPlatformDuties(`127.0.0.1:${port}`);
		expect(await unreachable.reportUsage(report, authority, mayStart)).toBe('throttled');
	});
});
