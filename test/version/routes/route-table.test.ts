import {describe, expect, test} from 'vitest';
import {chooseTarget, RouteTable} from '../../../src/version/routes/route-table.ts';
import {createConfiguration, createRoute} from '../../fixtures/fleet/configuration.ts';

describe('route table', () => {
	const table = new RouteTable(createConfiguration({
		routes: [
			createRoute({name: 'short', host: 'a.example', pathPrefix: '/x/'}),
			createRoute({name: 'long', host: 'a.example', pathPrefix: '/x/y/'}),
			createRoute({name: 'other', host: 'b.example', pathPrefix: '/'}),
		],
	}));

	test.each([
		['a.example', '/x/1', 'short'],
		['a.example', '/x/y/1', 'long'],
		['A.example:8080', '/x/y/', 'long'],
		['a.example', '/x/y', 'short'],
		['b.example', '/anything', 'other'],
	])('matches the longest prefix of the host: %s%s', (host, target, name) => {
		expect(table.match(host, target)?.name).toBe(name);
	});

	test.each([
		['a.example', '/z/1'],
		['a.example', '/x'],
		['c.example', '/x/1'],
	])('matches nothing for %s%s', (host, target) => {
		expect(table.match(host, target)).toBeUndefined();
	});

	test('does not mistake a slash in the query for one in the path', () => {
		expect(table.match('a.example', '/z?next=/x/y/')).toBeUndefined();
		expect(table.match('a.example', '/x/1?next=/x/y/')?.name).toBe('short');
	});
});

describe('targets of a route', () => {
	test('receive requests in proportion to their weights', () => {
		const route = createRoute({targets: [{service: 'one', weight: 90}, {service: 'two', weight: 10}]});
		const draws = Array.from({length: 100}, (_, index) => chooseTarget(route, index / 100));
		expect(draws.filter(service => service === 'two')).toHaveLength(10);
	});
});
