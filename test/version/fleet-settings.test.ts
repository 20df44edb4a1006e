import {readFileSync} from 'node:fs';
import {describe, expect, test} from 'vitest';
import {parseFleetSettings} from '../../src/version/fleet-settings.ts';

const values: Readonly<Record<string, string>> = {
	node_name: 'edge-1',
	ip: '10.1.0.38',
	zone: 'zone-a',
	'listen.frontend': '10.1.0.38:8149',
	'listen.readiness': '10.1.0.38:8141',
	'internal_ports.0': '7380',
	'platform.address': '10.200.1.7:8142',
	'limits.memory_mb': '350',
	'limits.link_mbps': '1000.0',
	'bounds.retry_budget_ratio': '0.2',
	'bounds.budget_slack': '56.0',
	'bounds.retry_window_s': '10',
	'bounds.grace_s': '8',
	'bounds.contact_ms': '3000',
	'bounds.drain_ms': '2000',
	'bounds.config_apply_ms': '2500',
	'bounds.lease_ms': '3000',
};

/** Fills in the settings template like the platform does. */
function fillTemplate(changes: Readonly<Record<string, string>> = {}): string {
	const template = readFileSync('deploy/daemon.ini', 'utf8');
	return template.replaceAll(/\{\{([\w.]+)\}\}/gv, (_match, name: string) => ({...values, ...changes})[name] ?? '');
}

describe('settings of a daemon on the platform', () => {
	test('are complete in the template', () => {
		expect(parseFleetSettings(fillTemplate(), 'daemon.ini').extract()).toEqual({
			daemon: {name: 'edge-1', host: '10.1.0.38', availabilityZone: 'zone-a'},
			listen: {
				callers: '10.1.0.38:8149', readiness: '10.1.0.38:8141', peerPort: 7380, metricsPort: 9464,
			},
			store: {address: '10.200.1.7:8142'},
			limits: {memoryMb: 350, linkMbps: 1000, maxDescriptors: undefined},
			bounds: {
				retryRatio: 0.2, retrySlack: 56, retryWindowMs: 10_000, graceMs: 8000, contactMs: 3000, drainMs: 2000, configApplyMs: 2500, leaseMs: 3000,
			},
		});
	});

	test.each([
		['no duties without an address', {'bounds.report_window_s': '5'}, undefined],
		['duties without reports', {'cloud_api.address': '10.200.1.8:80'}, {address: '10.200.1.8:80', reportWindowMs: undefined, reportDueMs: 10_000}],
		['no reports with a window of 0', {'cloud_api.address': '10.200.1.8:80', 'bounds.report_window_s': '0'}, {address: '10.200.1.8:80', reportWindowMs: undefined, reportDueMs: 10_000}],
		['duties with reports', {'cloud_api.address': '10.200.1.8:80', 'bounds.report_window_s': '5', 'bounds.usage_late_s': '8'}, {address: '10.200.1.8:80', reportWindowMs: 5000, reportDueMs: 8000}],
	])('have %s', (_name, changes, duties) => {
		expect(parseFleetSettings(fillTemplate(changes as unknown as Readonly<Record<string, string>>), 'daemon.ini').map(settings => settings.duties).unsafeCoerce()).toEqual(duties);
	});

	test('with an unusable address or window of duties are reported', () => {
		const text = fillTemplate({'cloud_api.address': 'nowhere', 'bounds.report_window_s': '-5'});
		expect(parseFleetSettings(text, 'daemon.ini').swap().toMaybe().extract()?.map(({message}) => message)).toEqual([
			'"address" must be IP:PORT',
			'"report-window-s" must be a number that is not negative',
		]);
	});

	test('are reported with every finding and its line', () => {
		const text = `${fillTemplate({zone: '', 'platform.address': 'nowhere', 'bounds.grace_s': 'long'})}\n[extra]\n`;
		const messages = parseFleetSettings(text, 'daemon.ini').swap().toMaybe().extract()?.map(({message}) => message);
		expect(messages).toEqual([
			'unknown section "extra"',
			'key "availability-zone" is missing in section "daemon"',
			'"address" must be IP:PORT',
			'"grace-s" must be a number that is not negative',
		]);
	});
});
