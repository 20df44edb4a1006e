import {
	createServer, ServerResponse, type IncomingMessage, type OutgoingHttpHeader, type OutgoingHttpHeaders, type Server,
} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {
	createRefusal, formatCallerError, runStateHeader, sendCallerError, type CallerError,
} from '../request/caller-error.ts';
import {maxHeaderCount} from '../request/headers.ts';
import {readRecentEvents} from '../process/pending-events.ts';
import {
	countAhead, noteProgress, trackResponse, viewConnection, watchConnection, type CallerLimit, type ClosedConnection, type ClosingReason, type Connection,
} from './caller-connection.ts';
import {chooseDispensable, chooseUnread} from './connection-limits.ts';
import {muteParser} from './request-parser.ts';

/** Limits on the connections and requests of callers. */
export type CallerServerOptions = {
	/** Largest head of a request, in bytes. */
	readonly maxHeaderBytes: number;
	/** Limit on open connections; for a further one, a connection that makes no progress is closed, or else the new one. @default 8192 */
	readonly maxConnections?: number;
	/** Requests of one connection that are served at a time; a further one is refused, and the connection closes. @default 16 */
	readonly maxPipelined?: number;
	/** Answers that callers have not taken, over all connections, in bytes; beyond it, connections are closed. @default 64 MiB */
	readonly maxUnsentBytes?: number;
	/** Answers a request beyond the limit of its connection; by default with 503. */
	readonly refuse?: (request: IncomingMessage, response: ServerResponse) => void;
	/** Called when a limit closes a connection or refuses a request. */
	readonly onLimited?: (limit: CallerLimit) => void;
	/** Timeout for receiving the head of a request, in milliseconds. @default 10_000 */
	readonly headersTimeoutMs?: number;
	/** Timeout for receiving a complete request, in milliseconds. @default 60_000 */
	readonly requestTimeoutMs?: number;
	/** Time that a connection may be idle between requests, in milliseconds; longer than load balancers keep theirs. @default 75_000 */
	readonly idleTimeoutMs?: number;
	/** Interval between checks of these timeouts, in milliseconds. @default 1000 */
	readonly checkIntervalMs?: number;
	/** Called when a connection has closed with responses that were not sent completely. */
	readonly onClosed?: (connection: ClosedConnection) => void;
	/** True while each connection is closed with its next answer. @default never */
	readonly closesConnections?: () => boolean;
};

const requestTimeoutCode = 'ERR_HTTP_REQUEST_TIMEOUT';
/** Stands for the request of a tunnel among the codes of errors. */
const tunnelCode = 'CONNECT';
/** Errors of a connection that the caller has ended or reset. */
const callerLeftCodes: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE', 'ETIMEDOUT', 'HPE_INVALID_EOF_STATE']);

type Headers = OutgoingHttpHeaders | OutgoingHttpHeader[];

/** Iterations of the event loop after which the first request of the connection that waits longest to be accepted has been read. */
const acceptIterations = 3;
/** Bounds the time in which waiting connections are accepted before the listener closes, in milliseconds; callers may open new ones all the time. */
const maxAcceptMs = 1000;
const tcpKeepAliveDelayMs = 30_000;
/** Interval between checks of the progress of connections. */
const progressIntervalMs = 250;
const connectionMargin = 64;
const defaultMaxUnsentBytes = 64 * 1024 * 1024;

const excessRefusal = createRefusal(503, 'overloaded', 'Too many requests are in progress on the connection.', 1);
const malformedRequest = createRefusal(400, 'malformed_request', 'The request is not valid HTTP.');
const parserRefusals: Readonly<Record<string, CallerError>> = {

	HPE_HEADER_OVERFLOW: createRefusal(431, 'headers_too_large', 'The head of the request is too large.'),
	HPE_CHUNK_EXTENSIONS_OVERFLOW: createRefusal(413, 'body_too_large', 'The chunk extensions are too large.'),
	[tunnelCode]: createRefusal(405, 'method_not_allowed', 'The method is not allowed.'),
	[requestTimeoutCode]: createRefusal(408, 'request_timeout', 'The request did not arrive in time.'),

};

/** Creates the server for callers; requests that are not valid HTTP are refused and never reach an upstream. */
export function createCallerServer(
	options: CallerServerOptions,
	handle: (request: IncomingMessage, response: ServerResponse) => void,
): Server {
	const connections = new WeakMap<Duplex, Connection>();
	const open = new Set<Connection>();
	const closing = new WeakSet<Duplex>();
	const server = createServer({
		ServerResponse: createAnnouncingResponse(({socket}) => {
			const isLast = connections.get(socket)?.responses.size === 1;
			if (isLast && options.closesConnections?.() === true) {
				closing.add(socket);
			}

			return closing.has(socket);
		}),
		maxHeaderSize: options.maxHeaderBytes,
		headersTimeout: options.headersTimeoutMs ?? 10_000,
		requestTimeout: options.requestTimeoutMs ?? 60_000,
		keepAliveTimeout: options.idleTimeoutMs ?? 75_000,
		connectionsCheckingInterval: options.checkIntervalMs ?? 1000,
		keepAlive: true,
		keepAliveInitialDelay: tcpKeepAliveDelayMs,
		insecureHTTPParser: false,
	}, (request, response) => {
		if (closing.has(request.socket)) {
			// The last answer told the caller that the connection closes, so this request must not run.
			return;
		}

		const connection = connections.get(request.socket);
		trackResponse(connection, response, server);
		if (connection !== undefined && countAhead(connection) > maxPipelined) {
			options.onLimited?.('pipelining');
			refuseExcess(request, response, options.refuse);
		} else {
			handle(request, response);
		}
	});
	const maxConnections = options.maxConnections ?? 8192;
	const maxPipelined = options.maxPipelined ?? 16;
	server.on('connection', socket => {
		const connection = watchConnection(socket, server, options.onClosed);
		connections.set(socket, connection);
		if (open.size >= maxConnections && !makeRoom(open)) {
			connection.reason = 'connections';
			socket.destroy();
			options.onLimited?.('connections');
			return;
		}

		open.add(connection);
		socket.once('close', () => {
			open.delete(connection);
		});
	});
	const makeRoom = (candidates: ReadonlySet<Connection>): boolean => {
		const now = performance.now();
		const dispensable = chooseDispensable([...candidates].map(connection => viewConnection(connection)), now);
		if (dispensable === undefined) {
			return false;
		}

		const {connection} = dispensable;
		open.delete(connection);
		options.onLimited?.('connections');
		if (dispensable.isIdle) {
			connection.reason ??= 'connections';
			connection.socket.destroy();
		} else {
			refuseMalformed(connection.socket, connection, requestTimeoutCode);
		}

		return true;
	};

	const checkTimer = setInterval(() => {
		const now = performance.now();
		for (const connection of open) {
			noteProgress(connection, now);
		}

		for (const {connection} of chooseUnread([...open].filter(({responses}) => responses.size > 0).map(connection => viewConnection(connection)), now, options.maxUnsentBytes ?? defaultMaxUnsentBytes)) {
			connection.reason ??= 'unread';
			connection.socket.destroy();
			options.onLimited?.('unread');
		}
	}, progressIntervalMs);
	checkTimer.unref();
	server.once('close', () => {
		clearInterval(checkTimer);
	});
	// `close` calls this method as well. The one of the library also closes connections whose last answer has not been sent completely.
	server.closeIdleConnections = () => {
		for (const {socket, responses, idle} of open) {
			if (responses.size === 0 && idle?.bytesRead === socket.bytesRead) {
				socket.destroy();
			}
		}
	};

	// With a listener, the HTTP library does not close the connection itself.
	server.on('timeout', (socket: Socket) => {
		void closeExpired(connections.get(socket)!, server);
	});
	server.on('checkExpectation', (request, response) => {
		trackResponse(connections.get(request.socket), response, server);
		response.writeHead(417).end();
	});
	// Without a listener, the HTTP library closes the connection without an answer.
	server.on('connect', (_request, socket) => {
		refuseMalformed(socket, connections.get(socket), tunnelCode);
	});
	// Connections beyond the limit are closed one by one; those of a flood before they are accepted.
	server.maxConnections = maxConnections + connectionMargin;
	server.maxHeadersCount = maxHeaderCount;
	server.on('clientError', (error: Error & {readonly code?: string}, socket) => {
		const connection = connections.get(socket);
		if (error.code === requestTimeoutCode && connection !== undefined) {
			void refuseExpired(connection);
		} else {
			refuseMalformed(socket, connection, error.code ?? '');
		}
	});
	return server;
}

/** Sets the largest head of a request, in bytes, on connections that are opened from now on. */
export function setMaxHeaderSize(server: Server, bytes: number): void {
	// The HTTP library reads the option for each connection but does not declare it.
	(server as Server & {maxHeaderSize: number}).maxHeaderSize = bytes;
}

/**
Creates a class of answers that announce the close of their connection.

Whether to close is asked when the head is sent: a header set on the arrival would close the connection before the answer to a
request that was pipelined behind, and would be missing if the daemon began to stop in between.
*/
function createAnnouncingResponse(shouldClose: (request: IncomingMessage) => boolean): typeof ServerResponse {
	return class <Request extends IncomingMessage = IncomingMessage> extends ServerResponse<Request> {
		override writeHead(statusCode: number, message?: string | Headers, headers?: Headers): this {
			if (shouldClose(this.req)) {
				this.shouldKeepAlive = false;
			}

			return typeof message === 'string' ? super.writeHead(statusCode, message, headers) : super.writeHead(statusCode, message ?? headers);
		}
	};
}

/**
Closes a connection that has been idle for the limit in force.

The time-out may pass while a request waits unread in the operating system, because the event loop runs timers before it reads
sockets; and the limit may have been raised since the connection became idle.
*/
async function closeExpired(connection: Connection, server: Server): Promise<void> {
	const {socket, responses, idle} = connection;
	const {bytesRead} = socket;
	await readRecentEvents();
	if (socket.destroyed || responses.size > 0 || socket.bytesRead > bytesRead) {
		return;
	}

	const remainingMs = (idle?.since ?? 0) + Math.max(server.keepAliveTimeout, idle?.promisedMs ?? 0) - performance.now();
	if (remainingMs > 0) {
		socket.setTimeout(remainingMs);
		return;
	}

	connection.reason ??= 'idleTimeout';
	socket.destroy();
}

/** Refuses a request that has not arrived in time, unless the rest of it was waiting in the operating system. */
async function refuseExpired(connection: Connection): Promise<void> {
	const {socket, responses} = connection;
	const {bytesRead} = socket;
	await readRecentEvents();
	if (socket.destroyed) {
		return;
	}

	const isServed = responses.size > 0 && [...responses].every(({req}) => req.complete);
	const isAnswered = responses.size === 0 && connection.idle?.bytesRead === socket.bytesRead;
	if (socket.bytesRead === bytesRead || !(isServed || isAnswered)) {
		refuseMalformed(socket, connection, requestTimeoutCode);
	}
}

/** Closes connections that are idle after an answer, once what waits in the operating system has been read; `deadlineAt`: time of the steady clock at which it stops to wait. */
export async function closeIdleConnections(server: Server, deadlineAt?: number): Promise<void> {
	await readRecentEvents(acceptIterations, deadlineAt);
	server.closeIdleConnections();
}

/**
Stops accepting connections, and closes those that are idle after an answer, once what waits in the operating system has been read.

Connections that wait to be accepted are accepted first, for a second or until `deadlineAt` at most, because the close would reset them.
*/
export async function stopListening(server: Server, {deadlineAt = Number.POSITIVE_INFINITY, onClosed}: {readonly deadlineAt?: number; readonly onClosed?: () => void} = {}): Promise<void> {
	const endAt = Math.min(deadlineAt, performance.now() + maxAcceptMs);
	let accepted = 0;
	const count = () => {
		accepted += 1;
	};

	server.on('connection', count);
	for (let before = -1; accepted > before && performance.now() < endAt;) {
		before = accepted;
		await readRecentEvents(acceptIterations, endAt);
	}

	server.off('connection', count);
	server.close(onClosed);
}

/** Refuses a request that was sent ahead of too many answers; the connection closes with the refusal, and nothing more is read from it. */
function refuseExcess(request: IncomingMessage, response: ServerResponse, refuse: CallerServerOptions['refuse']): void {
	response.shouldKeepAlive = false;
	muteParser(request);
	request.socket.pause();
	if (refuse === undefined) {
		sendCallerError(response, excessRefusal);
	} else {
		refuse(request, response);
	}
}

/** Answers with an error; while earlier requests are being served, their answers are completed first and the connection is then closed without one. */
function refuseMalformed(socket: Duplex, connection: Connection | undefined, code: string): void {
	const error = parserRefusals[code] ?? malformedRequest;
	const served = [...connection?.responses ?? []].filter(response => response.req.complete || response.headersSent);
	const isRepeated = connection?.reason !== undefined;
	if (connection !== undefined) {
		connection.reason ??= toClosingReason(code);
	}

	if (connection !== undefined && connection.reason !== 'callerLeft' && served.length > 0 && socket.writable) {
		if (!isRepeated) {
			closeAfterResponses(connection.socket, served);
		}

		return;
	}

	if (served.length > 0 || !socket.writable) {
		socket.destroy();
		return;
	}

	if (connection !== undefined) {
		connection.refusedStatus = error.status;
	}

	const body = formatCallerError(error);
	const head = [
		`HTTP/1.1 ${error.status} Refused`,
		'Content-Type: application/json',
		`Content-Length: ${body.length}`,
		`${runStateHeader}: ${error.ran}`,
		'Connection: close',
	].join('\r\n');
	socket.end(`${head}\r\n\r\n${body}`, () => {
		socket.destroy();
	});
}

/** Closes a connection on which nothing more can be read once these responses have been sent. */
function closeAfterResponses(socket: Socket, responses: readonly ServerResponse[]): void {
	const open = new Set(responses);
	const last = responses.at(-1)!;
	if (!last.headersSent) {
		last.shouldKeepAlive = false;
	}

	for (const response of responses) {
		response.once('close', () => {
			open.delete(response);
			if (open.size === 0) {
				socket.destroySoon();
			}
		});
	}
}

function toClosingReason(code: string): ClosingReason {
	if (callerLeftCodes.has(code)) {
		return 'callerLeft';
	}

	return code === requestTimeoutCode ? 'requestTimeout' : 'malformedRequest';
}
