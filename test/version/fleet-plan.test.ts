import {expect, it} from 'vitest';
import {formatFinding} from '../../src/version/finding.ts';
import {parseFleetPlan} from '../../src/version/fleet-plan.ts';

it('reads each kind of step in file order', () => {
	const text = `[plan]
name = october
author = anu
[step.1]
action = load
upstreams = a, b
adapters = fr, mn
version = 2
[step.2]
action = replace
upstream = a
with = c
`;
	expect(parseFleetPlan(text, 'p.ini').toMaybe().extract()).toEqual({
		name: 'october',
		author: 'anu',
		steps: [
			{action: {kind: 'load', adapters: ['fr', 'mn'], version: '2'}, upstreams: ['a', 'b'], line: 4},
			{action: {kind: 'replace', replacement: 'c'}, upstreams: ['a'], line: 9},
		],
	});
});

it('reports every finding with its line, so that all errors of a plan can be corrected at once', () => {
	const text = `[plan]
name = october
[step.1]
action = explode
[step.2]
action = role
upstreams = a, a
role = boss
[step.3]
action = load
upstreams = a
[steps]
`;
	const findings = parseFleetPlan(text, 'p.ini').swap().orDefault([]);
	expect(findings.map(finding => formatFinding(finding))).toEqual([
		'p.ini:1: section "plan" needs key "author"',
		'p.ini:4: key "action" must be one of load, role, replace, drain, undrain',
		'p.ini:7: key "upstreams": names an upstream twice',
		'p.ini:8: key "role": Invalid option: expected one of "prefill"|"decode"|"mixed"',
		'p.ini:9: a load needs a model, adapters or a version',
		'p.ini:12: unknown section "steps"',
	]);
});
