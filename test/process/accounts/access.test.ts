import {describe, expect, test} from 'vitest';
import {
	compareAccess, decideAccess, withAccountPriority, type Access,
} from '../../../src/process/accounts/access.ts';
import {AccountDirectory} from '../../../src/process/accounts/account-directory.ts';
import {createRoute} from '../../fixtures/fleet/configuration.ts';

const north = {name: 'north', keys: ['n-1', 'n-2'], priority: 0};
const south = {name: 'south', keys: ['s-1'], priority: undefined};
const directory = new AccountDirectory([north, south]);
const closed = createRoute();
const open = createRoute({isPublic: true});
const isCurrent = () => true;
const isOutdated = () => false;

describe('access to a route', () => {
	test.each<[string, ReturnType<typeof decideAccess>, Access]>([
		['needs no key without accounts', decideAccess(undefined, closed, 'unknown', isOutdated), {kind: 'open'}],
		['is granted to the account that holds the key', decideAccess(directory, closed, 'n-2', isCurrent), {kind: 'granted', account: north}],
		['is granted to a known key although a newer configuration may be in force', decideAccess(directory, closed, 's-1', isOutdated), {kind: 'granted', account: south}],
		['is refused without a key', decideAccess(directory, closed, undefined, isCurrent), {kind: 'refused', reason: 'noKey'}],
		['is refused with an unknown key', decideAccess(directory, closed, 'n-3', isCurrent), {kind: 'refused', reason: 'unknownKey'}],
		['is refused with the name of a property of all objects', decideAccess(directory, closed, '__proto__', isCurrent), {kind: 'refused', reason: 'unknownKey'}],
		['is refused to all if no key is valid', decideAccess(new AccountDirectory([]), closed, 'n-1', isCurrent), {kind: 'refused', reason: 'unknownKey'}],
		['is not refused for good while a newer configuration may allow it', decideAccess(directory, closed, 'n-3', isOutdated), {kind: 'refused', reason: 'undecided'}],
		['needs no key on a public route', decideAccess(directory, open, undefined, isCurrent), {kind: 'public'}],
		['is public with an unknown key on a public route', decideAccess(directory, open, 'n-3', isOutdated), {kind: 'public'}],
		['names the account of a valid key on a public route', decideAccess(directory, open, 's-1', isCurrent), {kind: 'granted', account: south}],
	])('%s', (_name, access, expected) => {
		expect(access).toEqual(expected);
	});

	test('is looked up in constant time among 10,000 accounts, which are indexed in less than 200 ms', () => {
		const accounts = Array.from({length: 10_000}, (_, index) => ({name: `a-${index}`, keys: [`key-${index}`, `other-${index}`], priority: undefined}));
		const startedAt = performance.now();
		const large = new AccountDirectory(accounts);
		expect(performance.now() - startedAt).toBeLessThan(200);
		expect(large.size).toBe(20_000);
		expect(large.holderOf('other-9999')?.name).toBe('a-9999');
	});
});

describe('access after a change of the configuration', () => {
	const granted = (account: typeof north | typeof south): Access => ({kind: 'granted', account});
	test.each<[string, Access, Access, string]>([
		['is kept by the same account', granted(north), granted({...north, keys: ['n-2']}), 'kept'],
		['is withdrawn with its key', granted(north), {kind: 'refused', reason: 'unknownKey'}, 'withdrawn'],
		['is changed if another account holds the key', granted(north), granted(south), 'changed'],
		['is changed if keys are needed from now on', {kind: 'open'}, granted(north), 'changed'],
		['is withdrawn if keys are needed from now on and none was shown', {kind: 'open'}, {kind: 'refused', reason: 'noKey'}, 'withdrawn'],
		['is kept on a public route', {kind: 'public'}, {kind: 'public'}, 'kept'],
	])('%s', (_name, before, after, expected) => {
		expect(compareAccess(before, after)).toBe(expected);
	});
});

test('the priority of an account goes before that of the route', () => {
	const route = createRoute({priority: 3});
	expect(withAccountPriority(route, {kind: 'granted', account: north}).priority).toBe(0);
	expect(withAccountPriority(route, {kind: 'granted', account: south})).toBe(route);
	expect(withAccountPriority(route, {kind: 'public'})).toBe(route);
});
