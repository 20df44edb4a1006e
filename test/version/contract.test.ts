import {describe, expect, it} from 'vitest';
import {parseContract, resolveRoute} from '../../src/version/contract.ts';
import {formatFinding} from '../../src/version/finding.ts';

const valid = `[contract]
customer = tuul-press
; weight relative to the shares of the other customers
share = 40
[class.live]
first-token-ms = 500
[route./services/orders/bookings]
methods = POST, put
unrepeatable = true
[route./services/orders]
`;

function findingsOf(text: string): readonly string[] {
	return parseContract(text, 'c.ini').swap().map(findings => findings.map(finding => formatFinding(finding))).orDefault([]);
}

describe('parseContract', () => {
	it('reads a complete contract and fills in defaults', () => {
		expect(parseContract(valid, 'c.ini').toMaybe().extract()).toEqual({
			customer: 'tuul-press',
			share: 40,
			live: {firstTokenMs: 500, betweenTokensMs: 38, queueMs: 2000},
			patient: {deadlineS: 28_800},
			routes: [
				{path: '/services/orders/bookings', methods: ['POST', 'PUT'], unrepeatable: true},
				{path: '/services/orders', methods: ['POST'], unrepeatable: false},
			],
		});
	});

	// Guards against findings that hide others: an operator would have to run the command once per error.
	it('reports every finding with its line', () => {
		const text = '[contract]\ncustomer = Tuul!\nshare = 0\n[class.live]\nqueue-ms = soon\n[class.urgent]\n'
			+ '[route.orders]\nmethods = FETCH\nunrepeatable = maybe\ncolour = red\n';
		expect(findingsOf(text)).toEqual([
			'c.ini:2: key "customer": must be a name of lower-case letters, digits, "." or "-"',
			'c.ini:3: key "share": must be a whole number from 1 to 1000000',
			'c.ini:5: key "queue-ms": must be a whole number from 0 to 3600000',
			'c.ini:6: unknown section "class.urgent"',
			'c.ini:7: section "route.orders": the path must start with "/" and have no blanks, "?" or "#"',
			'c.ini:8: key "methods": must be a list of GET, HEAD, POST, PUT, PATCH, DELETE',
			'c.ini:9: key "unrepeatable": must be true or false',
			'c.ini:10: unknown key "colour" in section "route.orders"',
		]);
	});

	it('finds the rule with the longest path, also for other spellings of a path, and none for a method that is not covered', () => {
		const contract = parseContract(valid, 'c.ini').unsafeCoerce();
		expect(resolveRoute(contract, 'POST', '/services/orders/bookings/7?x=1')?.unrepeatable).toBe(true);
		expect(resolveRoute(contract, 'POST', '/services/orders/bookingsheet')?.path).toBe('/services/orders');
		expect(resolveRoute(contract, 'POST', '/services//orders/x/../%62ookings')?.unrepeatable).toBe(true);
		expect(resolveRoute(contract, 'GET', '/services/orders/bookings')).toBeUndefined();
	});
});
