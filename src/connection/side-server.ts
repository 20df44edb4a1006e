import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {dropRest, hasUnreadBody} from '../request/request-body.ts';
import {createCallerServer, type CallerServerOptions} from './caller-server.ts';

/** Limits of a server for other daemons and for operators, whose requests are short and have no body. */
const sideLimits = {
	maxHeaderBytes: 16 * 1024,
	maxConnections: 256,
	maxPipelined: 4,
	headersTimeoutMs: 5000,
	requestTimeoutMs: 5000,
	idleTimeoutMs: 5000,
} as const;

/** Body that such a request may have; it is dropped. */
const maxDroppedBytes = 64 * 1024;

/** Creates a server that is not for callers, but that callers may reach; requests with a body are answered and their connections closed. */
export function createSideServer(
	options: Pick<CallerServerOptions, 'maxUnsentBytes' | 'onLimited'>,
	handle: (request: IncomingMessage, response: ServerResponse) => void,
): Server {
	return createCallerServer({...sideLimits, ...options}, (request, response) => {
		if (hasUnreadBody(request)) {
			response.shouldKeepAlive = false;
			dropRest(request, maxDroppedBytes);
		}

		handle(request, response);
	});
}
