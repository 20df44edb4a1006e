import {
	createServer, ServerResponse, type IncomingMessage, type OutgoingHttpHeader, type OutgoingHttpHeaders, type Server,
} from 'node:http';
import type {Duplex} from 'node:stream';
import {
	createRefusal, formatCallerError, runStateHeader, type CallerError,
} from '../request/caller-error.ts';
import {maxHeaderCount} from '../request/parsed-request.ts';

/** Limits on the connections and requests of callers. */
export type CallerServerOptions = {
	/** Largest head of a request, in bytes. */
	readonly maxHeaderBytes: number;
	/** Limit on open connections; further ones are closed immediately. @default 8192 */
	readonly maxConnections?: number;
	/** Timeout for receiving the head of a request, in milliseconds. @default 10_000 */
	readonly headersTimeoutMs?: number;
	/** Timeout for receiving a complete request, in milliseconds. @default 60_000 */
	readonly requestTimeoutMs?: number;
	/** Time that a connection may be idle between requests, in milliseconds; longer than load balancers keep theirs. @default 75_000 */
	readonly idleTimeoutMs?: number;
	/** Interval between checks of these timeouts, in milliseconds. @default 1000 */
	readonly checkIntervalMs?: number;
	/** True while each connection is closed with its next answer. @default never */
	readonly closesConnections?: () => boolean;
};

type Headers = OutgoingHttpHeaders | OutgoingHttpHeader[];

const tcpKeepAliveDelayMs = 30_000;

const malformedRequest = createRefusal(400, 'malformed_request', 'The request is not valid HTTP.');
const parserRefusals: Readonly<Record<string, CallerError>> = {

	HPE_HEADER_OVERFLOW: createRefusal(431, 'headers_too_large', 'The head of the request is too large.'),
	HPE_CHUNK_EXTENSIONS_OVERFLOW: createRefusal(413, 'body_too_large', 'The chunk extensions are too large.'),
	ERR_HTTP_REQUEST_TIMEOUT: createRefusal(408, 'request_timeout', 'The request did not arrive in time.'),

};

/** Creates the server for callers; requests that are not valid HTTP are refused and never reach an upstream. */
export function createCallerServer(
	options: CallerServerOptions,
	handle: (request: IncomingMessage, response: ServerResponse) => void,
): Server {
	const open = new WeakMap<Duplex, Set<ServerResponse>>();
	const closing = new WeakSet<Duplex>();
	const server = createServer({
		ServerResponse: createAnnouncingResponse(({socket}) => {
			const isLast = open.get(socket)?.size === 1;
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

		trackResponse(open, request, response);
		handle(request, response);
	});
	server.maxConnections = options.maxConnections ?? 8192;
	server.maxHeadersCount = maxHeaderCount;
	server.on('clientError', (error: Error & {readonly code?: string}, socket) => {
		refuseMalformed(socket, open.get(socket), parserRefusals[error.code ?? ''] ?? malformedRequest);
	});
	return server;
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

function trackResponse(open: WeakMap<Duplex, Set<ServerResponse>>, {socket}: IncomingMessage, response: ServerResponse): void {
	const responses = open.get(socket) ?? new Set();
	open.set(socket, responses);
	responses.add(response);
	response.once('close', () => {
		responses.delete(response);
	});
}

/** Answers with an error, unless that would corrupt the answer to another request on the same connection. */
function refuseMalformed(socket: Duplex, responses: ReadonlySet<ServerResponse> | undefined, error: CallerError): void {
	const isServing = [...responses ?? []].some(response => response.req.complete || response.headersSent);
	if (isServing || !socket.writable) {
		socket.destroy();
		return;
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
