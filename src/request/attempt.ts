import type {IncomingHttpHeaders} from 'node:http';
import {Left, Right, type Either} from 'purify-ts';
import type {Dispatcher} from 'undici';
import type {RunState} from './caller-error.ts';

/** A request as it is sent to an upstream. */
export type UpstreamRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: IncomingHttpHeaders;
	readonly body: Uint8Array;
};

/** Why an attempt brought no answer, and whether the upstream may have run the request. */
export type AttemptFailure = {
	readonly ran: RunState;
	readonly message: string;
};

const hopByHopHeaders = new Set([
	'connection',
	'content-length',
	'expect',
	'host',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
]);

/** Errors before any byte was written to the upstream. */
const notSentCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** Sends a request to one upstream; the answer's body is streamed. */
export async function sendAttempt(
	dispatcher: Dispatcher,
	origin: string,
	request: UpstreamRequest,
	signal: AbortSignal,
): Promise<Either<AttemptFailure, Dispatcher.ResponseData>> {
	try {
		return Right(await dispatcher.request({
			origin,
			method: request.method,
			path: request.path,
			headers: forwardHeaders(request.headers),
			body: request.body.length === 0 ? null : request.body,
			signal,
		}));
	} catch (error) {
		const {code, message} = error as Error & {readonly code?: string};
		return Left({ran: code !== undefined && notSentCodes.has(code) ? 'no' : 'unknown', message});
	}
}

/** Drops headers that belong to one connection, and the caller's credentials. */
export function forwardHeaders(headers: IncomingHttpHeaders): IncomingHttpHeaders {
	const listed = new Set(String(headers.connection ?? '').split(',').map(name => name.trim().toLowerCase()));
	return Object.fromEntries(Object.entries(headers).filter(([name]) =>
		!hopByHopHeaders.has(name) && !listed.has(name) && name !== 'authorization'));
}
