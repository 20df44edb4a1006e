import type {IncomingMessage, Server} from 'node:http';
import type {Socket} from 'node:net';

/** Time after which an engine closes a connection that has sent no complete request, in milliseconds. */
export const idleLimitMs = 2000;

type ConnectionWatch = {since: number; isBusy: boolean; timer: NodeJS.Timeout | undefined};

/** Closes connections of a server on which no complete request arrives within a time limit. */
export class IdleLimit {
	readonly #limitMs: number;
	readonly #watches = new WeakMap<Socket, ConnectionWatch>();

	constructor(limitMs: number) {
		this.#limitMs = limitMs;
	}

	/** Applies the limit to every connection that the server accepts from now on. */
	apply(server: Server): void {
		// Node.js announces this time, rounded down to seconds, to clients, so that they send no request on a connection that is about to close.
		server.keepAliveTimeout = this.#limitMs;
		server.on('connection', socket => {
			this.#watchConnection(socket);
		});
		server.on('request', (request, response) => {
			this.#watchRequest(request);
			response.once('close', () => {
				this.#restartTimer(request.socket);
			});
		});
	}

	/** True when the current request of a connection was complete within the limit; a timer that fires late makes no difference. */
	isRequestInTime(socket: Socket): boolean {
		return this.#watches.get(socket)?.isBusy === true;
	}

	#watchRequest(request: IncomingMessage): void {
		if (request.headers['content-length'] === undefined && request.headers['transfer-encoding'] === undefined) {
			this.#completeRequest(request.socket);
		} else {
			request.once('end', () => {
				this.#completeRequest(request.socket);
			});
		}
	}

	#completeRequest(socket: Socket): void {
		const watch = this.#watches.get(socket);
		if (watch === undefined) {
			return;
		}

		clearTimeout(watch.timer);
		watch.isBusy = performance.now() - watch.since <= this.#limitMs;
		if (!watch.isBusy) {
			socket.destroy();
		}
	}

	#watchConnection(socket: Socket): void {
		this.#watches.set(socket, {since: 0, isBusy: false, timer: undefined});
		this.#restartTimer(socket);
		socket.once('close', () => {
			clearTimeout(this.#watches.get(socket)?.timer);
		});
	}

	#restartTimer(socket: Socket): void {
		const watch = this.#watches.get(socket);
		if (watch === undefined || socket.destroyed) {
			return;
		}

		clearTimeout(watch.timer);
		watch.isBusy = false;
		const since = performance.now();
		watch.since = since;
		watch.timer = setTimeout(() => {
			// Lets the event loop read a request that arrived while the process was busy before the connection is closed.
			setImmediate(() => {
				if (!watch.isBusy && watch.since === since) {
					socket.destroy();
				}
			});
		}, this.#limitMs);
	}
}
