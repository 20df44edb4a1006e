import {createHash} from 'node:crypto';

/** Directory of callers' keys; holds digests only. */
export type KeyDirectory = ReadonlyMap<string, string>;

/** Digest under which a key is kept. */
export function hashKey(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}

/** Resolves the customer of an `Authorization: Bearer` header. */
export function resolveCustomer(directory: KeyDirectory, authorization: string | undefined): string | undefined {
	const [scheme, key] = (authorization ?? '').split(' ');
	return scheme?.toLowerCase() === 'bearer' && key !== undefined ? directory.get(hashKey(key)) : undefined;
}
