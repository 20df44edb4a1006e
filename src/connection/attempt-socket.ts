import {subscribe} from 'node:diagnostics_channel';
import type {Socket} from 'node:net';

/** Diagnostics channel on which the client library publishes the socket, synchronously, when it writes the head of a request. */
const sendHeadersChannel = 'undici:client:sendHeaders';

type SentHead = {
	readonly request: {readonly method: string; readonly path: string};
	readonly socket: Socket;
};

/** Callback for the socket of a request that is being started. */
export type SocketCapture = {
	readonly method: string;
	readonly path: string;
	readonly onSocket: (socket: Socket) => void;
};

let pendingCapture: SocketCapture | undefined;

subscribe(sendHeadersChannel, message => {
	const {request, socket} = message as SentHead;
	const capture = pendingCapture;
	pendingCapture = undefined;
	if (capture?.method === request.method && capture.path === request.path) {
		capture.onSocket(socket);
	}
});

/** Captures the socket of the request that the client library starts next, within the same synchronous call. */
export function captureNextSocket(capture: SocketCapture): void {
	pendingCapture = capture;
}

/**
Guards the connection of a paused answer; `resume` is called before the client library handles the end of the connection.

Without it, an assertion of the library fails outside of any request, which ends the process, when a connection that is not
kept alive ends or is reset during the pause. The parser is therefore resumed before an end is handled, and a reset gets an
error code that the library does not treat specially.
*/
export function guardPausedSocket(socket: Socket, resume: () => void): Disposable {
	const relabel = (error: Error & {code?: string}) => {
		error.code = 'UPSTREAM_RESET';
	};

	socket.prependListener('end', resume);
	socket.prependListener('error', relabel);
	return {
		[Symbol.dispose]() {
			socket.off('end', resume);
			socket.off('error', relabel);
		},
	};
}
