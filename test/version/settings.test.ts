import {describe, expect, it} from 'vitest';
import {formatFinding} from '../../src/version/finding.ts';
import {parseSettings} from '../../src/version/settings.ts';

const valid = `[daemon]
id = a1
availability-zone = zone-a
listen = 127.0.0.1:8080
peer-listen = 127.0.0.1:9080
[platform]
table = http://127.0.0.1:7000
objects = http://127.0.0.1:7000/objects
hosts = http://127.0.0.1:7001/hosts
`;

function findingsOf(text: string): readonly string[] {
	return parseSettings(text, 'a.ini').swap().map(findings => findings.map(finding => formatFinding(finding))).orDefault([]);
}

describe('parseSettings', () => {
	it('accepts a complete file and fills in defaults', () => {
		const settings = parseSettings(valid, 'a.ini').toMaybe().extract();
		expect(settings?.daemon.id).toBe('a1');
		expect(settings?.limits['body-bytes']).toBe(4_194_304);
	});

	it('reports every finding with its line, so that one run shows all errors', () => {
		const text = valid.replace('127.0.0.1:8080', 'nowhere') + '[limits]\nbody-bytes = many\nbody-bytes = 5000\ncolour = red\n[extras]\nnonsense\n';
		expect(findingsOf(text)).toEqual([
			'a.ini:4: key "listen": must be IP:PORT',
			'a.ini:11: key "body-bytes": must be a whole number from 1024 to 268435456',
			'a.ini:12: duplicate key "body-bytes" in section "limits"',
			'a.ini:13: unknown key "colour" in section "limits"',
			'a.ini:14: unknown section "extras"',
			'a.ini:15: expected "key = value" or "[section]"',
		]);
	});

	it('reports each missing key, so that a daemon is not started with incomplete settings', () => {
		expect(findingsOf('[daemon]\nid = a1\n')).toContain('a.ini:1: section "daemon" needs key "availability-zone"');
	});
});
