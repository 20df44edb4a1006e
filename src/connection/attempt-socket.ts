import {subscribe} from 'node:diagnostics_channel';
import type {Socket} from 'node:net';

/** Diagnostics channel on which the client library publishes the socket when it writes the head of a request, in the same synchronous call that starts the request. */
const sendHeadersChannel = 'undici:client:sendHeaders';

type SentHead = {
	readonly request: {readonly method: string; readonly path: string};
	readonly socket: Socket;
};

/** Request, by method and path, whose socket is passed to `onSocket` once its head is written. */
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

/** Captures the socket of the next request; the caller must start that request synchronously after this call. */
export function captureNextSocket(capture: SocketCapture): void {
	pendingCapture = capture;
}

/**
Guards the connection of a paused answer; `resume` is called before the client library handles the end of the connection.

Without the guard, an assertion of the library fails outside of any request, which ends the process, when a connection that is
not kept alive ends or is reset during the pause. The parser is therefore resumed before an end is handled, and each error of the
socket, such as a reset, gets an error code other than the one that the library looks for.
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
