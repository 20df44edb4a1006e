import type {IncomingMessage, Server} from 'node:http';
import type {Socket} from 'node:net';

/** Time after which an engine closes a connection that has sent no complete request, in milliseconds. */
export const idleLimitMs = 2000;

type ConnectionWatch = {since: number; isBusy: boolean; timer: NodeJS.Timeout | undefined};

/** Closes connections of a server that send no complete request within a limit. */
export class IdleLimit {
	readonly #limitMs: number;
	readonly #watches = new WeakMap<Socket, ConnectionWatch>();

	constructor(limitMs: number) {
		this.#limitMs = limitMs;
	}

	/** Applies the limit to every connection that the server accepts from now on. */
	apply(server: Server): void {
		// Clients are told a shorter time than the limit, so that they do not send on a connection that is closing.
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

	/** True when the connection's request was complete within the limit, even if no timer has run since. */
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
			// What has arrived while the process was busy is read before the connection is closed.
			setImmediate(() => {
				if (!watch.isBusy && watch.since === since) {
					socket.destroy();
				}
			});
		}, this.#limitMs);
	}
}
