import type {Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {ConnectionView} from './connection-limits.ts';

/** Limit at which a caller was refused: too many connections, requests sent ahead, requests in progress, or answers that are not taken. */
export type CallerLimit = 'connections' | 'pipelining' | 'requests' | 'unread';

/** Reason for which a caller's connection closed; `unattributed`: closed by the daemon, but not by this server. */
export type ClosingReason = CallerLimit | 'callerLeft' | 'malformedRequest' | 'requestTimeout' | 'idleTimeout' | 'shutdown' | 'unattributed';

/** A closed connection of a caller. */
export type ClosedConnection = {
	readonly reason: ClosingReason;
	/** Status of the error that the server itself has answered with, because a request could not be read. */
	readonly refusedStatus: number | undefined;
	/** Responses that were not sent completely, in the order of their requests. */
	readonly unfinished: readonly ServerResponse[];
};

/** State of an open connection. */
export type Connection = {
	readonly socket: Socket;
	readonly responses: Set<ServerResponse>;
	reason: ClosingReason | undefined;
	refusedStatus: number | undefined;
	/** Time of the end of the last response or the rest of its request, in milliseconds of the steady clock, the bytes read until then, and the idle time that the response promised; undefined before. */
	idle: {readonly since: number; readonly bytesRead: number; readonly promisedMs: number} | undefined;
	/** Bytes read and sent when progress was last seen, and the time of it. */
	progress: {readonly at: number; readonly bytesRead: number; readonly bytesSent: number};
	/** Requests that were read at once, with the bytes read until then. */
	batch: {readonly bytesRead: number; readonly requests: number};
};

/** Keeps the responses of a connection and the reason for which it closes. */
export function watchConnection(socket: Socket, server: Server, onClosed: ((connection: ClosedConnection) => void) | undefined): Connection {
	const connection: Connection = {
		socket, responses: new Set(), reason: undefined, refusedStatus: undefined, idle: undefined, progress: {at: performance.now(), bytesRead: 0, bytesSent: 0}, batch: {bytesRead: 0, requests: 0},
	};
	const markLeft = () => {
		connection.reason ??= 'callerLeft';
	};

	socket.once('end', markLeft);
	// Stays, because the HTTP library removes its own listener at the first error.
	socket.on('error', markLeft);
	socket.once('close', () => {
		const unfinished = [...connection.responses].filter(response => !response.writableFinished);
		if (unfinished.length > 0) {
			onClosed?.({
				reason: connection.reason ?? (server.listening ? 'unattributed' : 'shutdown'), refusedStatus: connection.refusedStatus, unfinished,
			});
		}
	});
	return connection;
}

/** Keeps a response until it has been sent or its connection has closed. */
export function trackResponse(connection: Connection | undefined, response: ServerResponse, server: Server): void {
	if (connection === undefined) {
		return;
	}

	// The library announces the limit that is in force when the request arrives.
	const promisedMs = server.keepAliveTimeout;
	const markIdle = () => {
		connection.idle = {since: performance.now(), bytesRead: connection.socket.bytesRead, promisedMs};
	};

	connection.responses.add(response);
	response.once('close', () => {
		connection.responses.delete(response);
		markIdle();
	});
	// The rest of a body may be read after its refusal.
	response.req.once('close', markIdle);
}

/** What the limits on connections need to know of a connection. */
export function viewConnection(connection: Connection): ConnectionView & {readonly connection: Connection} {
	const {socket, responses, idle, progress} = connection;
	const isIdle = responses.size === 0 && idle?.bytesRead === socket.bytesRead;
	let servedCount = 0;
	let unsentBytes = 0;
	for (const response of responses) {
		servedCount += response.req.complete ? 1 : 0;
		unsentBytes += response.writableLength;
	}

	return {
		connection, servedCount, isIdle, unsentBytes, progressAt: isIdle ? idle.since : progress.at,
	};
}

/** Records whether bytes have arrived or left since the last call. */
export function noteProgress(connection: Connection, now: number): void {
	const {socket, progress} = connection;
	const {bytesRead} = socket;
	const bytesSent = socket.bytesWritten - socket.writableLength;
	if (bytesRead !== progress.bytesRead || bytesSent !== progress.bytesSent) {
		connection.progress = {at: now, bytesRead, bytesSent};
	}
}

/** Counts the requests that were sent without waiting for the answers before: those not answered, or those read at once. */
export function countAhead(connection: Connection): number {
	const {socket: {bytesRead}, batch, responses} = connection;
	const requests = batch.bytesRead === bytesRead ? batch.requests + 1 : 1;
	connection.batch = {bytesRead, requests};
	return Math.max(requests, responses.size);
}
