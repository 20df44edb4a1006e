import type {ClientAccount, Route} from '../../version/routes/route-configuration.ts';
import type {AccountDirectory} from './account-directory.ts';

/** Reason why a request has no access: it shows no key, an unknown one, or this daemon cannot know whether the key is valid by now. */
export type AccessRefusal = 'noKey' | 'unknownKey' | 'undecided';

/** Decision whether a request may run; `open` if the configuration has no accounts, `public` if the route needs no key and none of an account was shown. */
export type Access
	= | {readonly kind: 'open' | 'public'}
		| {readonly kind: 'granted'; readonly account: ClientAccount}
		| {readonly kind: 'refused'; readonly reason: AccessRefusal};

/** What has become of the access of a request after a change of the configuration; `changed` if it would now be sent with other headers. */
export type AccessChange = 'kept' | 'withdrawn' | 'changed';

/**
Decides whether a request on a route may run.

`isCurrent` returns false if a newer configuration may be in force. A known key is then accepted all the same, but a request is not refused
for good, because the newer configuration may allow it.
*/
export function decideAccess(directory: AccountDirectory | undefined, {isPublic}: Pick<Route, 'isPublic'>, key: string | undefined, isCurrent: () => boolean): Access {
	if (directory === undefined) {
		return {kind: 'open'};
	}

	const account = key === undefined ? undefined : directory.holderOf(key);
	if (account !== undefined) {
		return {kind: 'granted', account};
	}

	if (isPublic) {
		return {kind: 'public'};
	}

	if (!isCurrent()) {
		return {kind: 'refused', reason: 'undecided'};
	}

	return {kind: 'refused', reason: key === undefined ? 'noKey' : 'unknownKey'};
}

/** Compares the access that a request was given with that of a newer configuration. */
export function compareAccess(before: Access, after: Access): AccessChange {
	if (after.kind === 'refused') {
		return 'withdrawn';
	}

	return before.kind === after.kind && accountName(before) === accountName(after) ? 'kept' : 'changed';
}

/** Name of the account to which access was granted. */
export function accountName(access: Access): string | undefined {
	return access.kind === 'granted' ? access.account.name : undefined;
}

/** Returns the route with the priority that applies to the request. */
export function withAccountPriority(route: Route, access: Access): Route {
	const priority = access.kind === 'granted' ? access.account.priority : undefined;
	return priority === undefined || priority === route.priority ? route : {...route, priority};
}
