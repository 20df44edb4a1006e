import {createServer, connect, type Socket} from 'node:net';
import {once} from 'node:events';

/** What a proxy does with the bytes of its connections. */
export type ProxyMode = 'open' | 'silent' | 'answersLost' | 'refused' | 'slow';

const slowDelayMs = 150;
/** An end is passed on so late, in milliseconds, since a reset that comes right behind it must be passed on instead. */
const endDelayMs = 20;

/** Loopback proxy in front of one server that delays, loses or resets what passes. */
export class FaultProxy implements AsyncDisposable {
	mode: ProxyMode = 'open';
	readonly #target: string;
	readonly #sockets = new Set<Socket>();
	readonly #server = createServer({allowHalfOpen: true}, socket => {
		this.#accept(socket);
	});

	constructor(target: string) {
		this.#target = target;
	}

	/** IP and port once started. */
	get address(): string {
		const address = this.#server.address();
		return typeof address === 'object' && address !== null ? `127.0.0.1:${address.port}` : '';
	}

	/** Opens a free port on loopback. */
	async start(): Promise<void> {
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
	}

	/** Resets all connections. */
	reset(): void {
		for (const socket of this.#sockets) {
			reset(socket);
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#server.close();
		this.reset();
	}

	#accept(socket: Socket): void {
		if (this.mode === 'refused') {
			socket.resetAndDestroy();
			return;
		}

		const [host, port] = this.#target.split(':');
		const upstream = connect({host, port: Number(port), allowHalfOpen: true});
		this.#forward(socket, upstream, () => this.mode !== 'silent');
		this.#forward(upstream, socket, () => this.mode !== 'silent' && this.mode !== 'answersLost');
	}

	#forward(from: Socket, to: Socket, isHeard: () => boolean): void {
		this.#sockets.add(from);
		from.setNoDelay(true);
		from.on('data', chunk => {
			if (!isHeard()) {
				return;
			}

			if (this.mode === 'slow') {
				setTimeout(() => {
					to.write(chunk);
				}, slowDelayMs);
			} else {
				to.write(chunk);
			}
		});
		from.once('end', () => {
			setTimeout(() => {
				// A reset that follows the end reads as the end; only the missing peer tells it from one.
				if (from.remotePort === undefined) {
					reset(to);
				} else {
					to.end();
				}
			}, this.mode === 'slow' ? slowDelayMs : endDelayMs);
		});
		from.on('error', () => {
			// A reset on one side is a reset on the other.
			reset(to);
		});
		from.once('close', () => {
			this.#sockets.delete(from);
			if (!to.destroyed && !to.writableEnded) {
				to.destroy();
			}
		});
	}
}

/** A reset of a socket whose own end was sent, or that is not connected yet, would leave its handle open. */
function reset(socket: Socket): void {
	if (socket.writableEnded || socket.connecting || socket.destroyed) {
		socket.destroy();
	} else {
		socket.resetAndDestroy();
	}
}
