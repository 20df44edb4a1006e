import {createHash} from 'node:crypto';
import {normalizeHost} from '../../version/routes/route-table.ts';
import type {RouteRequest} from './route-request.ts';

/** Computes a fingerprint of what an upstream would run; the id and the caller's address differ from one repetition to the next. */
export function createFingerprint({method, host, target, body}: Pick<RouteRequest, 'method' | 'host' | 'target' | 'body'>): string {
	return createHash('sha256').update(`${method}\n${normalizeHost(host)}\n${target}\n`).update(body).digest('base64url');
}
