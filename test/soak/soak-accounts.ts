/** Client accounts of the callers. */
export const soakAccounts = ['north', 'south'] as const;

/** Returns the key of an account. */
export function soakKey(account: (typeof soakAccounts)[number]): string {
	return `key-of-${account}`;
}
