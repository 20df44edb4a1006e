import {createHash} from 'node:crypto';

/** Customers by the digest of their key; the keys themselves are not kept. */
export type KeyDirectory = ReadonlyMap<string, string>;

/** Computes the digest under which a key is stored. */
export function hashKey(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}

/** Resolves the customer of an `Authorization: Bearer` header; undefined if the key is missing or unknown. */
export function resolveCustomer(directory: KeyDirectory, authorization: string | undefined): string | undefined {
	const [scheme, key] = (authorization ?? '').split(' ');
	return scheme?.toLowerCase() === 'bearer' && key !== undefined ? directory.get(hashKey(key)) : undefined;
}
