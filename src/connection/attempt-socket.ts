import {subscribe} from 'node:diagnostics_channel';
import type {Socket} from 'node:net';

/** Published by the client library when it writes the head of a request, in the same call that starts the request. */
const sendHeadersChannel = 'undici:client:sendHeaders';

type SentHead = {
	readonly request: {readonly method: string; readonly path: string};
	readonly socket: Socket;
};

/** Wait for the socket of a request that is being started. */
export type SocketCapture = {
	readonly method: string;
	readonly path: string;
	readonly onSocket: (socket: Socket) => void;
};

let pendingCapture: SocketCapture | undefined;

subscribe(sendHeadersChannel, message => {
	const {request, socket} = message as SentHead;
	const wait = pendingCapture;
	pendingCapture = undefined;
	if (wait?.method === request.method && wait.path === request.path) {
		wait.onSocket(socket);
	}
});

/** Learns the socket of the request that the client library starts in this call. */
export function captureNextSocket(wait: SocketCapture): void {
	pendingCapture = wait;
}

/**
Guards a connection while its answer is paused; `resume` is called before the client library learns of the connection's end.

The library fails an assertion, outside of any request, when a connection that is not kept alive ends or is reset while
its answer is paused. An end is therefore seen by a resumed parser, and a reset has another code than the one it looks for.
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
