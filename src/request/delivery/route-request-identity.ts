import {createHash} from 'node:crypto';
import {normalizeHost} from '../../version/routes/route-table.ts';
import type {RequestIdentity} from '../request-identity.ts';
import type {RouteRequest} from './route-request.ts';

/** Parts of a prompt that are followed in the search for ones that crash upstreams; bounds the work and the memory for long prompts. */
const maxParts = 16;
/** Longest part id that serves as a key unchanged; longer ones are hashed, since keys are kept and sent to other daemons. */
const maxPlainKeyLength = 32;

/**
Identifies a request by what an upstream would run; its id and the caller's address differ from one repetition to the next.

The last part of a prompt belongs to the request or its session, so it is not shared with other requests.
*/
export function identifyRouteRequest({method, host, target, body, prompt}: Pick<RouteRequest, 'method' | 'host' | 'target' | 'body' | 'prompt'>): RequestIdentity {
	const sharedParts = prompt?.parts.slice(0, -1).slice(0, maxParts) ?? [];
	return {
		fingerprint: createHash('sha256').update(`${method}\n${normalizeHost(host)}\n${target}\n`).update(body).digest('base64url'),
		promptParts: [...new Set(sharedParts.map(({id}) => createPartKey(id)))],
	};
}

function createPartKey(id: string): string {
	return id.length <= maxPlainKeyLength ? id : createHash('sha256').update(id).digest('base64url').slice(0, maxPlainKeyLength);
}
